package tinlink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Says something to the control address of some router, the first that answers. */
final class ControlClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CONNECT_MS = 2000;
    private static final int READ_MS = 20_000;

    /** @param status as of HTTP; 0 where nobody answered */
    record Response(int status, JsonNode body) {
        String message() {
            return body.path("said").asText("");
        }

        /** Nobody answered, or it is not known to be agreed: the same may be said again. */
        boolean mayBeRepeated() {
            return status == 0 || status == 503;
        }
    }

    private final List<String> addresses;
    private final String token;

    /** @param tokenFile holds the token; null for that of the environment */
    ControlClient(List<String> at, Path tokenFile) throws IOException {
        this.addresses = at;
        token = tokenFile != null
                ? Files.readString(tokenFile).strip()
                : System.getenv().getOrDefault("TINLINK_TOKEN", "");
    }

    /** The first router that answers; what it doesn't know, another may. */
    Response send(Map<String, ?> what) {
        Response last = new Response(
                0,
                JSON.createObjectNode()
                        .put("said", "no router answers at " + String.join(", ", addresses)));
        for (String one : addresses) {
            try {
                Response s = send(one, what);
                if (s.status != 503 && s.status != 404) {
                    return s;
                }
                last = s;
            } catch (IOException e) {
                last = last.status != 0
                        ? last
                        : new Response(
                                0,
                                JSON.createObjectNode().put("said", one + ": " + e.getMessage()));
            }
        }
        return last;
    }

    private Response send(String one, Map<String, ?> what) throws IOException {
        HttpURLConnection c =
                (HttpURLConnection) new URL("http://" + one + "/work").openConnection();
        c.setConnectTimeout(CONNECT_MS);
        c.setReadTimeout(READ_MS);
        c.setRequestMethod("POST");
        c.setRequestProperty("Authorization", "Bearer " + token);
        c.setDoOutput(true);
        byte[] b = JSON.writeValueAsBytes(what);
        c.setFixedLengthStreamingMode(b.length);
        c.getOutputStream().write(b);
        int status = c.getResponseCode();
        try (InputStream in = status < 400 ? c.getInputStream() : c.getErrorStream()) {
            return new Response(
                    status,
                    JSON.readTree(new String(
                            in == null ? new byte[0] : in.readAllBytes(), StandardCharsets.UTF_8)));
        }
    }
}
