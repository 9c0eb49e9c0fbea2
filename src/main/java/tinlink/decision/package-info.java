/**
 * The decision module: every decision, table and tuned value of a query router. Free of input and output:
 * time and chance come from outside, inputs only update what is known, and decisions are pulled.
 *
 * <p>Callers use {@link tinlink.decision.QueryCoordinator} and carry out what
 * {@link tinlink.decision.DecisionHandler} asks for. A reader begins with
 * {@link tinlink.decision.FastestValidCoordinator}, the life cycle of a lookup, and goes on with
 * {@link tinlink.decision.RetryPlanner} and {@link tinlink.decision.AttemptDispatcher}, which make its
 * attempts; {@link tinlink.decision.ReplicaSelector} says where they go, and
 * {@link tinlink.decision.ReplicaHealth} what is known of the data nodes. {@code docs/design.md} gives the
 * reasons.
 */
package tinlink.decision;
