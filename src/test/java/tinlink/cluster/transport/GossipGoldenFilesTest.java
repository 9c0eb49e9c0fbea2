package tinlink.cluster.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import tinlink.GoldenFile;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.MemberState;
import tinlink.cluster.membership.Rumor;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Incarnations and rumors are encoded byte for byte as by earlier builds, and decoded again. */
@SuppressWarnings("EnumOrdinal") // The recorded encoding has ordinals of enum constants.
class GossipGoldenFilesTest {
    private static byte[] encode(Incarnation incarnation) {
        MessageCodec.Builder out = new MessageCodec.Builder();
        PeerProtocol.encodeIncarnation(out, incarnation);
        return out.build();
    }

    private static Incarnation decodeIncarnation(byte[] bytes) throws Exception {
        return PeerProtocol.decodeIncarnation(ByteBuffer.wrap(bytes));
    }

    private static byte[] encode(List<Rumor> rumors) {
        MessageCodec.Builder out = new MessageCodec.Builder();
        PeerProtocol.encodeRumors(out, rumors);
        return out.build();
    }

    private static List<Rumor> decodeRumors(byte[] bytes) throws Exception {
        return PeerProtocol.decodeRumors(ByteBuffer.wrap(bytes));
    }

    private static Map<String, List<Rumor>> rumors() {
        List<Rumor> all = new ArrayList<>();
        for (MemberState state : MemberState.values()) {
            int ordinal = state.ordinal();
            all.add(new Rumor(
                    new Incarnation("r" + ordinal, 3 + ordinal, 0x8000000000000000L + ordinal),
                    7L * ordinal,
                    state,
                    "r" + ordinal + "@10.0.0." + ordinal + ":7000",
                    ordinal == 0 ? "" : "r9"));
        }
        Map<String, List<Rumor>> lists = new LinkedHashMap<>();
        lists.put("no-rumours", List.of());
        lists.put("rumours-of-all-standings", all);
        return lists;
    }

    @Test
    void rumorsAreEncodedAndDecodedAsBefore() throws Exception {
        Incarnation incarnation = new Incarnation("r1", 0x0102030405060708L, -2);
        Map<String, String> all = new LinkedHashMap<>();
        all.put("life", GoldenFile.hex(encode(incarnation)));
        rumors().forEach((name, list) -> all.put(name, GoldenFile.hex(encode(list))));
        String file = "member-rumours.txt";
        GoldenFile.holds(file, "A process of a router, and lists of rumours, in hex.", all);
        Map<String, String> golden = GoldenFile.read(file);
        assertEquals(incarnation, decodeIncarnation(GoldenFile.bytes(golden.get("life"))));
        for (Map.Entry<String, List<Rumor>> expected : rumors().entrySet()) {
            byte[] bytes = GoldenFile.bytes(golden.get(expected.getKey()));
            assertEquals(expected.getValue(), decodeRumors(bytes));
        }
    }
}
