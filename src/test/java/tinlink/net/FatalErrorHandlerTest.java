package tinlink.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** A thread that ends by an error ends the process; one that ends by an exception is logged. */
class FatalErrorHandlerTest {
    private final List<Integer> exits = new ArrayList<>();
    private final FatalErrorHandler handler = new FatalErrorHandler(exits::add);

    /** Guards against a router that stays up without its event loop and answers nobody. */
    @Test
    void anErrorEndsTheProcess() {
        handler.uncaughtException(Thread.currentThread(), new OutOfMemoryError("test"));
        assertEquals(List.of(FatalErrorHandler.EXIT_STATUS), exits);
    }

    @Test
    void anExceptionDoesNot() {
        handler.uncaughtException(Thread.currentThread(), new IllegalStateException("test"));
        assertEquals(List.of(), exits);
    }
}
