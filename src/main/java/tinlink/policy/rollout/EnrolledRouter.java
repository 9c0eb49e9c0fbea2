package tinlink.policy.rollout;

/**
 * The process of a router that takes part in policy changes.
 *
 * @param incarnation identifies the process
 * @param startCount number of starts of the router up to and including this process
 */
public record EnrolledRouter(String incarnation, long startCount) {}
