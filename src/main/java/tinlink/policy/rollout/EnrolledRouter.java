package tinlink.policy.rollout;

/**
 * The process of a router that takes part in changes of policy.
 *
 * @param incarnation names the process
 * @param startCount starts of that router, this one counted; a later process has a higher one
 */
public record EnrolledRouter(String incarnation, long startCount) {}
