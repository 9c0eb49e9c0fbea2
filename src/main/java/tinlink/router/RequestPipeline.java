package tinlink.router;

import tinlink.decision.Aggregator;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.start.RouterStart;

/** The stages of a request and the list beside them, put together for one loop and one module. */
final class RequestPipeline {
    final QueryParser queryParser;
    final DecisionDriver driver;
    final AttemptDispatcher dispatcher;
    final ClientAcceptor acceptor;
    final EndpointList endpointList;
    final DiscoveryWatcher discoveryWatcher;
    final DescriptorBudget descriptors;

    RequestPipeline(EventLoop loop, Network network, RouterStart start, Aggregator module) {
        driver = new DecisionDriver(loop, module, start.longestUs, start.mostComeBackUs);
        descriptors = new DescriptorBudget(start.descriptors);
        dispatcher = new AttemptDispatcher(loop, network, descriptors, driver, start.links);
        queryParser = new QueryParser(start.lookups);
        acceptor = new ClientAcceptor(
                loop,
                network,
                descriptors,
                queryParser,
                driver,
                start.lookups.openCap(),
                start.links.connectUs(),
                start.mostReading,
                start.longestUs);
        endpointList = new EndpointList(driver, dispatcher, start.names);
        discoveryWatcher = new DiscoveryWatcher(
                loop, network, driver, endpointList, start.discovery, start.pushed, start.seed, (int)
                        Math.min(Integer.MAX_VALUE, start.mostReading));
        dispatcher.setAcceptor(acceptor);
    }
}
