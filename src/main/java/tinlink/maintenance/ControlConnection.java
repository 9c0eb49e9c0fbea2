package tinlink.maintenance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import tinlink.config.ConfigFile;
import tinlink.config.InvalidInputException;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.HttpReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;

/** One operator's connection: reads its request, checks its token, and writes the one answer. */
final class ControlConnection implements Connection.Listener, HttpReader.MessageListener {
    static final int OK = 200;
    static final int NOT_FOUND = 404;
    static final int UNAVAILABLE = 503;
    static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int TOO_LARGE = 413;
    /** Characters of a request's body. */
    private static final int MAX_BODY_CHARACTERS = 1 << 18;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ControlServer control;
    private final HttpReader reader = HttpReader.forRequests(this);
    private final StringBuilder body = new StringBuilder();
    private Connection link;
    private EventLoop.Timer timeout;
    private boolean authorized;
    private boolean responseSent;

    ControlConnection(ControlServer control) {
        this.control = control;
    }

    /** It is up, and has to be over within that time. */
    void opened(Connection up, long timeoutUs) {
        link = up;
        timeout = control.loop.schedule(
                control.loop.nowUs() + timeoutUs, () -> link.close(CloseReason.IDLE_TIMEOUT));
    }

    void end(CloseReason closeReason) {
        link.close(closeReason);
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        try {
            while (in.size() > 0 && !responseSent) {
                reader.read(in);
            }
        } catch (MessageRejectedException e) {
            respond(e.status, Map.of("said", e.getMessage()));
        }
    }

    @Override
    public void startLine(String method, String path, String version)
            throws MessageRejectedException {
        if (!method.equals("POST") || !path.equals("/work")) {
            throw new MessageRejectedException(NOT_FOUND, "POST /work is all there is");
        }
    }

    @Override
    public void header(String name, String value) {
        // Danger: a comparison that ends at the first wrong byte tells how much of a guess was
        // right.
        authorized |= name.equals("authorization")
                && MessageDigest.isEqual(
                        control.token,
                        value.replaceFirst("^Bearer ", "").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void headersEnded() throws MessageRejectedException {
        if (!authorized) {
            throw new MessageRejectedException(UNAUTHORIZED, "the token is not this router's");
        }
    }

    @Override
    public void body(ByteBuffer piece) throws MessageRejectedException {
        body.append(StandardCharsets.UTF_8.decode(piece));
        if (body.length() > MAX_BODY_CHARACTERS) {
            throw new MessageRejectedException(TOO_LARGE, "it is too long");
        }
    }

    @Override
    public void messageEnded() throws MessageRejectedException {
        setTimeout(() -> respond(
                UNAVAILABLE,
                Map.of("said", "it is not known to be agreed: ask again, here or elsewhere")));
        try {
            control.commands.execute(ConfigFile.of("request", body.toString()), this);
        } catch (InvalidInputException | IllegalArgumentException e) {
            throw new MessageRejectedException(BAD_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    private void setTimeout(Runnable then) {
        control.loop.cancel(timeout);
        timeout = control.loop.schedule(control.loop.nowUs() + control.answerTimeoutUs, then);
    }

    /** The first answer counts; what follows it is dropped. */
    void respond(int status, Map<String, ?> answer) {
        if (responseSent) {
            return;
        }
        responseSent = true;
        byte[] json;
        try {
            json = JSON.writeValueAsBytes(answer);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
        link.out()
                .put("HTTP/1.1 " + status + (status == OK ? " OK" : " No")
                        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                        + json.length + "\r\n\r\n")
                .put(json);
        link.scheduleWrite();
        setTimeout(() -> link.close(CloseReason.COMPLETED));
    }

    /** Answers with what the vote came to. @param failure why that is not known; null where it is */
    void answerProposal(String said, String failure) {
        respond(
                failure == null ? OK : UNAVAILABLE,
                Map.of(
                        "said",
                        failure == null
                                ? said
                                : "it is not known to be agreed (" + failure
                                        + "): ask again, here or elsewhere"));
    }

    @Override
    public void writesCompleted() {
        if (responseSent) {
            link.halfClose();
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        control.loop.cancel(timeout);
        control.connectionClosed(this);
    }
}
