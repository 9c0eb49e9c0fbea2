package tinlink.policy;

import tinlink.policy.rollout.EffectivePolicy;
import tinlink.policy.rollout.PolicyChange;
import tinlink.policy.rollout.PolicyChanges;
import tinlink.policy.rollout.PolicyVersion;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The status of policy changes as JSON objects for operators. Operators' scripts read the keys and
 * the state names, so both must not change.
 */
final class PolicyStatusView {
    private PolicyStatusView() {}

    static Map<String, Object> status(PolicyChanges changes, EffectivePolicy effective) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("epoch", effective.epoch());
        view.put("why", effective.unavailableReason());
        view.put("in_force", version(changes.inForce()));
        if (changes.previous() != null) {
            view.put("before", version(changes.previous()));
        }
        PolicyChange openChange = changes.openChange();
        view.put("open", openChange == null ? "" : openChange.changeId());
        view.put("owing", changes.pendingRouters());
        return view;
    }

    private static Map<String, Object> version(PolicyVersion version) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("epoch", version.epoch());
        view.put("digest", version.digest());
        view.put("change", version.changeId());
        view.put("author", version.author());
        view.put("reason", version.reason());
        view.put("at_us", version.effectiveAtUs());
        view.put("text", version.text());
        return view;
    }

    static Map<String, Object> change(PolicyChange change) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("id", change.changeId());
        view.put(
                "state",
                switch (change.state()) {
                    case OPEN -> "not settled";
                    case IN_FORCE -> "in force";
                    case WITHDRAWN -> "withdrawn";
                });
        view.put("why", change.withdrawalReason());
        view.put("epoch", change.epoch());
        view.put("at_us", change.effectiveAtUs());
        view.put("digest", change.digest());
        view.put("author", change.author());
        view.put("reason", change.reason());
        return view;
    }
}
