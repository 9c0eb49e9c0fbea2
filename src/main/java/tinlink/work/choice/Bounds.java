package tinlink.work.choice;

import tinlink.cluster.membership.LineCodec;

import java.util.List;

/**
 * What has to be left while machines are away.
 *
 * @param holders sound holders that each card block keeps
 * @param zoneShare share of its data nodes, and of its routers, that each zone keeps; and each site
 * @param warmUs how long a machine that came back has to have been sound before it counts
 * @param beginUs how long a grant may wait to be begun
 * @param agingUs after so long a request counts as one step more urgent
 * @param kept ended pieces that are remembered
 * @param most pieces in hand
 */
public record Bounds(
        int holders,
        double zoneShare,
        double siteShare,
        long warmUs,
        long beginUs,
        long agingUs,
        int kept,
        int most) {
    /** Before any have been agreed on: machines may become known, nothing else. */
    static final Bounds NONE = new Bounds(0, 0, 0, 1, 1, 1, 0, 1 << 14);

    String words() {
        return LineCodec.encode(
                "bounds", holders, zoneShare, siteShare, warmUs, beginUs, agingUs, kept, most);
    }

    static Bounds of(List<String> w) {
        return new Bounds(
                Integer.parseInt(w.get(1)),
                Double.parseDouble(w.get(2)),
                Double.parseDouble(w.get(3)),
                Long.parseLong(w.get(4)),
                Long.parseLong(w.get(5)),
                Long.parseLong(w.get(6)),
                Integer.parseInt(w.get(7)),
                Integer.parseInt(w.get(8)));
    }

    /** A share is rounded up. Of a site one is always kept: none is lost. */
    int least(Place place, int all) {
        return switch (place.of()) {
            case BLOCK -> holders;
            case VOTERS -> all / 2 + 2; // A majority, and one to spare.
            case ZONE_NODES, ZONE_ROUTERS -> share(zoneShare, all);
            case SITE_NODES, SITE_ROUTERS -> Math.max(1, share(siteShare, all));
        };
    }

    private static int share(double share, int all) {
        return (int) Math.ceil(share * all - 1e-9);
    }
}
