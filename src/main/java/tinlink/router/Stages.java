package tinlink.router;

import tinlink.decision.Aggregator;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.start.RouterStart;

/** The stages of a request and the list beside them, put together for one loop and one module. */
final class Stages {
    final QueryReader reader;
    final ModuleTurn turn;
    final PartSends sends;
    final Intake intake;
    final Roster roster;
    final DiscoveryWatcher discovery;
    final Descriptors descriptors;

    Stages(EventLoop loop, Network network, RouterStart start, Aggregator module) {
        turn = new ModuleTurn(loop, module, start.longestUs, start.mostComeBackUs);
        descriptors = new Descriptors(start.descriptors);
        sends = new PartSends(loop, network, descriptors, turn, start.links);
        reader = new QueryReader(start.lookups);
        intake = new Intake(
                loop,
                network,
                descriptors,
                reader,
                turn,
                start.lookups.openCap(),
                start.links.connectUs(),
                start.mostReading,
                start.longestUs);
        roster = new Roster(turn, sends, start.names);
        discovery = new DiscoveryWatcher(
                loop, network, turn, roster, start.discovery, start.pushed, start.seed, (int)
                        Math.min(Integer.MAX_VALUE, start.mostReading));
        sends.serves(intake);
    }
}
