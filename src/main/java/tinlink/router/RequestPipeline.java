package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.decision.QueryCoordinator;
import tinlink.net.EventLoop;
import tinlink.net.Network;

/** Wires the stages of a request and the endpoint list for one event loop and one coordinator. */
final class RequestPipeline {
    final QueryParser queryParser;
    final DecisionDriver driver;
    final AttemptDispatcher dispatcher;
    final ClientAcceptor acceptor;
    final EndpointList endpointList;
    final DiscoveryWatcher discoveryWatcher;
    final DescriptorBudget descriptors;

    RequestPipeline(
            EventLoop loop, Network network, RouterConfig config, QueryCoordinator coordinator) {
        driver =
                new DecisionDriver(loop, coordinator, config.maxDeadlineUs, config.maxRetryAfterUs);
        descriptors = new DescriptorBudget(config.maxDescriptors);
        dispatcher =
                new AttemptDispatcher(loop, network, descriptors, driver, config.nodeConnections);
        queryParser = new QueryParser(config.lookups);
        acceptor = new ClientAcceptor(
                loop,
                network,
                descriptors,
                queryParser,
                driver,
                new ClientAcceptor.Limits(
                        config.lookups.maxInFlight(),
                        config.nodeConnections.connectTimeoutUs(),
                        config.maxRequestHeapBytes,
                        config.maxDeadlineUs));
        endpointList = new EndpointList(driver, dispatcher, config.endpointNames);
        discoveryWatcher = new DiscoveryWatcher(
                loop,
                network,
                driver,
                endpointList,
                config.discovery,
                config.isDiscoveryPushed,
                config.seed,
                new DiscoveryConnection.ObjectLimits(
                        config.maxEndpointListBytes, config.maxEndpointListHeapBytes));
        dispatcher.connections().setAcceptor(acceptor);
    }
}
