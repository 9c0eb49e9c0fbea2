package tinlink.policy;

import tinlink.config.ConfigFile;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.PolicyCommand;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;

/**
 * The settings in a policy document that govern its own rollout. Each router's start checks
 * validate the rest of the document.
 *
 * @param digest SHA-256 of the document's text, in hex
 * @param absencePolicy how absent routers are treated
 */
public record ProposalTerms(String digest, AbsencePolicy absencePolicy) {
    /**
     * Parses the terms from the text of a policy document.
     *
     * @throws tinlink.config.InvalidInputException if a value is invalid; names the key and value
     */
    public static ProposalTerms parse(String text) {
        ConfigFile absent = ConfigFile.of("policy", text).object("absent");
        String rule = absent.text("rule", "withdraw");
        if (!rule.matches("wait|withdraw|fence")) {
            throw absent.invalid("rule", "is none of wait, withdraw, fence: " + rule);
        }
        return new ProposalTerms(
                digest(text),
                new AbsencePolicy(
                        AbsencePolicy.Rule.valueOf(rule.toUpperCase(Locale.ROOT)),
                        absent.micros("wait_ms", 10_000, 100, 3_600_000),
                        absent.micros("hold_ms", 1000, 100, 60_000),
                        rule.equals("fence")
                                ? absent.micros("lease_ms", 30_000, 500, 3_600_000)
                                : 0,
                        absent.micros("clock_error_ms", 50, 0, 10_000)));
    }

    /**
     * Returns the command that proposes the document.
     *
     * @param changeId id of the change, chosen by the operator
     * @param baseEpoch epoch that has to be in force for the change to be opened
     * @param text text of the document that these terms were parsed from
     * @param author who proposes the change
     * @param reason the author's reason
     */
    public PolicyCommand.Propose proposal(
            String changeId, long baseEpoch, String text, String author, String reason) {
        return new PolicyCommand.Propose(
                changeId, baseEpoch, digest, text, author, reason, absencePolicy);
    }

    private static String digest(String text) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // Every Java platform supports SHA-256.
        }
    }
}
