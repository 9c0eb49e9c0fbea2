package tinlink.experiment.scale;

/** The names of roles and dimensions that the serving measurement and docs/CAPACITY.md share. */
final class ServingNames {
    static final String ROUTER = "query-router.serving";
    static final String DISCOVERY = "discovery";
    static final String NODE = "data-node";
    static final String BY_LIST = "nodes on the list";
    static final String BY_CONNECTIONS = "open connections";
    static final String BY_PARTS = "parts a lookup";

    private ServingNames() {}
}
