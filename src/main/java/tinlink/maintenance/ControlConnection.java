package tinlink.maintenance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import tinlink.config.InvalidInputException;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.HttpReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One connection of an operator: reads the request, checks its token and writes the only response. Not
 * thread-safe: all calls come from the event loop's thread.
 */
final class ControlConnection
        implements Connection.Listener, HttpReader.MessageListener, ControlResponder {
    private static final int UNAUTHORIZED = 401;
    private static final int TOO_LARGE = 413;
    /** The maximum length of a request's body. */
    private static final int MAX_BODY_CHARACTERS = 1 << 18;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ControlServer server;
    private final HttpReader reader = HttpReader.forRequests(this);
    private final StringBuilder body = new StringBuilder();
    private Connection connection;
    private EventLoop.Timer timeout;
    private boolean authorized;
    private boolean responseSent;

    ControlConnection(ControlServer server) {
        this.server = server;
    }

    /** Registers the accepted connection, which is closed after the timeout, in microseconds. */
    void opened(Connection accepted, long timeoutUs) {
        connection = accepted;
        setTimeout(timeoutUs, () -> connection.close(CloseReason.IDLE_TIMEOUT));
    }

    void close(CloseReason closeReason) {
        connection.close(closeReason);
    }

    private void setTimeout(long timeoutUs, Runnable task) {
        EventLoop loop = server.loop();
        loop.cancel(timeout);
        timeout = loop.schedule(loop.nowUs() + timeoutUs, task);
    }

    @Override
    public void bytesReceived(RingBuffer received) {
        try {
            while (received.size() > 0 && !responseSent) {
                reader.read(received);
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
        authorized |= name.equals("authorization")
                && server.matchesToken(value.replaceFirst("^Bearer ", ""));
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
        setTimeout(
                server.answerTimeoutUs(),
                () -> respond(
                        UNAVAILABLE,
                        Map.of(
                                "said",
                                "it is not known to be agreed: ask again, here or elsewhere")));
        try {
            server.requestHandler().handle(body.toString(), this);
        } catch (InvalidInputException | IllegalArgumentException e) {
            throw new MessageRejectedException(BAD_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    @Override
    public void respond(int status, Map<String, ?> answer) {
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
        connection
                .out()
                .put("HTTP/1.1 " + status + (status == OK ? " OK" : " No")
                        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                        + json.length + "\r\n\r\n")
                .put(json);
        connection.scheduleWrite();
        setTimeout(server.answerTimeoutUs(), () -> connection.close(CloseReason.COMPLETED));
    }

    @Override
    public void writesCompleted() {
        if (responseSent) {
            connection.halfClose();
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        server.loop().cancel(timeout);
        server.connectionClosed(this);
    }
}
