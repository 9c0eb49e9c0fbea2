package tinlink.experiment.scale;

import tinlink.experiment.processes.Fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The files that a router is started with, real or hollow, with the paces that are in force where
 * none is stated.
 */
final class ControlFiles {
    /** Routers that may be known: 256 where nothing is stated, which refuses more. */
    private static final int MOST_ROUTERS = 1024;

    private static final String KEYS =
            "keys: {k1: '00112233445566778899aabbccddeeff'}, use_key: 'k1'";
    private final ControlPlan plan;
    private final Path folder;

    ControlFiles(ControlPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
    }

    /**
     * Writes them.
     *
     * @param voters by name, where each is reached; a placeholder while that is not known
     * @return the environment to start with
     */
    Map<String, String> write(String name, Map<String, String> voters, String discovery)
            throws IOException {
        int number = Integer.parseInt(name.substring(1));
        Path own = Files.createDirectories(folder.resolve(name));
        Path config = Files.writeString(
                own.resolve("config.json"),
                "{\"name\":\"" + name
                        + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\""
                        + Long.toHexString(plan.seed() * 31 + number)
                        + "\",\"limits\":{\"sockets\":4096,\"memory_mb\":192},\"settings\":"
                        + settings() + "}");
        String known = voters.entrySet().stream()
                .filter(v -> !v.getKey().equals(name))
                .map(v -> v.getKey() + ": '" + v.getValue() + "'")
                .collect(Collectors.joining(", "));
        Path peers = Files.writeString(
                own.resolve("peers.json5"),
                "{cluster: 'scale', zone: '"
                        + ControlPlan.zone(number) + "', listen: '127.0.0.1:0', folder: '"
                        + own.resolve("disk")
                        + "',\npeers: {" + known + "},\nvoters: ['"
                        + String.join("', '", plan.voterNames()) + "'],\n" + KEYS
                        + ", most: " + MOST_ROUTERS + ", strangers: " + MOST_ROUTERS + "}\n");
        Path work = Files.writeString(
                own.resolve("work.json5"),
                "{sites: " + ControlPlan.sites()
                        + ",\nbounds: {holders: 1, zone_share: 0.3, site_share: 0.3},\npolicy: true,\n"
                        + "control: {listen: '127.0.0.1:0', token: '" + Fleet.TOKEN
                        + "', answer_ms: 4000}}\n");
        Map<String, String> env = new LinkedHashMap<>();
        env.put("NODE_CONFIG", config.toString());
        env.put("NODE_PEERS", peers.toString());
        env.put("NODE_WORK", work.toString());
        env.put("NODE_LOG", "INFO");
        return env;
    }

    private String settings() {
        return "{\"family\":\"fanout\",\"discovery\":\"pushed\",\"groupSize\":" + plan.routers()
                + ",\"zone\":0,\"stepMs\":5,"
                + "\"localities\":[\"z0\",\"z1\",\"z2\",\"z3\",\"z4\",\"z5\",\"z6\"],"
                + "\"models\":[\"m\"],\"familyInfo\":{\"sets\":4,\"slabs\":4,\"reach\":1,\"bundleMax\":4,"
                + "\"callMs\":1,\"completeFrom\":[1,1,1],\"minShare\":[0.3,1,1],"
                + "\"incompleteWorth\":[0.5,0,0]},"
                + "\"profiles\":[{\"name\":\"find\",\"effect\":\"pure\",\"onTimeMs\":1000,"
                + "\"deadlineMs\":1500,"
                + "\"windowMs\":0,\"worth\":1,\"lateWorth\":0.3}],"
                + "\"limits\":{\"tryLimit\":3,\"secondCopies\":true,"
                + "\"cancel\":true,\"retryAfter\":true,\"maxRetryAfterMs\":1000,\"openCap\":2000,"
                + "\"connectTimeoutMs\":250,\"connIdleMs\":30000,\"streamsPerConn\":100},"
                + "\"rules\":{\"startCapacity\":0.2,\"coldMs\":0,\"fallMultiple\":4,\"fallMs\":3000},"
                + "\"charges\":{\"crossZone\":0.0}}";
    }
}
