/**
 * Costs by size: measurements at several sizes, the growth law that fits them, and the files that
 * docs/CAPACITY.md is written from.
 */
package tinlink.experiment.scale;
