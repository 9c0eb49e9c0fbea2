package tinlink.policy;

import tinlink.config.ConfigFile;
import tinlink.policy.rollout.AbsencePolicy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;

/**
 * What a policy document says of its own change: the digest that names it, and what is done about
 * routers that are absent. All else in it is for each router's own checks.
 */
public record ProposalTerms(String digest, AbsencePolicy absencePolicy) {
    /**
     * Reads the terms from a policy's text.
     *
     * @throws tinlink.config.InvalidInputException naming the key that is wrong
     */
    public static ProposalTerms parse(String text) {
        ConfigFile absentObject = ConfigFile.of("policy", text).object("absent");
        String rule = absentObject.text("rule", "withdraw");
        if (!rule.matches("wait|withdraw|fence")) {
            throw absentObject.invalid("rule", "is none of wait, withdraw, fence: " + rule);
        }
        return new ProposalTerms(
                digest(text),
                new AbsencePolicy(
                        AbsencePolicy.Rule.valueOf(rule.toUpperCase(Locale.ROOT)),
                        absentObject.micros("wait_ms", 10_000, 100, 3_600_000),
                        absentObject.micros("hold_ms", 1000, 100, 60_000),
                        rule.equals("fence")
                                ? absentObject.micros("lease_ms", 30_000, 500, 3_600_000)
                                : 0,
                        absentObject.micros("clock_error_ms", 50, 0, 10_000)));
    }

    /** SHA-256 of the text, in hex. */
    private static String digest(String text) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // Every Java has it.
        }
    }
}
