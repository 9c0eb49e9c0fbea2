package tinlink;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

import org.junit.jupiter.api.Test;

/**
 * Which package may use which: dependencies point down the layers, without cycles; packages that decide do no
 * I/O.
 */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("tinlink");

    @Test
    void layersUseOnlyLayersBelow() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("http2")
                .definedBy("tinlink.http2")
                .layer("http2 pool")
                .definedBy("tinlink.http2.pool")
                .layer("main")
                .definedBy("tinlink")
                .layer("cli")
                .definedBy("tinlink.cli")
                .layer("experiment")
                .definedBy("tinlink.experiment")
                .layer("processes")
                .definedBy("tinlink.experiment.processes")
                .layer("emulator")
                .definedBy("tinlink.emulator")
                .layer("router")
                .definedBy("tinlink.router")
                .layer("simadapter")
                .definedBy("tinlink.simadapter")
                .layer("gateway")
                .definedBy("tinlink.gateway")
                .layer("forwarding")
                .definedBy("tinlink.gateway.forwarding")
                .layer("securechannel")
                .definedBy("tinlink.securechannel")
                .layer("cluster")
                .definedBy("tinlink.cluster")
                .layer("cluster membership")
                .definedBy("tinlink.cluster.membership")
                .layer("cluster consensus")
                .definedBy("tinlink.cluster.consensus")
                .layer("cluster transport")
                .definedBy("tinlink.cluster.transport")
                .layer("maintenance")
                .definedBy("tinlink.maintenance")
                .layer("maintenance scheduling")
                .definedBy("tinlink.maintenance.scheduling")
                .layer("policy")
                .definedBy("tinlink.policy")
                .layer("policy rollout")
                .definedBy("tinlink.policy.rollout")
                .layer("storage")
                .definedBy("tinlink.storage")
                .layer("simulation")
                .definedBy("tinlink.experiment.simulation")
                .layer("config")
                .definedBy("tinlink.config")
                .layer("net")
                .definedBy("tinlink.net")
                .layer("decision")
                .definedBy("tinlink.decision")
                .whereLayer("main")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("cli")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("experiment")
                .mayOnlyBeAccessedByLayers("cli", "processes")
                .whereLayer("processes")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("emulator")
                .mayOnlyBeAccessedByLayers("experiment", "processes")
                .whereLayer("router")
                .mayOnlyBeAccessedByLayers("main", "experiment")
                .whereLayer("simadapter")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("gateway")
                .mayOnlyBeAccessedByLayers("router")
                .whereLayer("forwarding")
                .mayOnlyBeAccessedByLayers("gateway", "router")
                .whereLayer("http2")
                .mayOnlyBeAccessedByLayers("router")
                .whereLayer("http2 pool")
                .mayOnlyBeAccessedByLayers("http2", "router")
                .whereLayer("securechannel")
                .mayOnlyBeAccessedByLayers(
                        "gateway", "cluster", "cluster consensus", "cluster transport")
                .whereLayer("cluster")
                .mayOnlyBeAccessedByLayers("maintenance", "policy", "router")
                .whereLayer("cluster transport")
                .mayOnlyBeAccessedByLayers("cluster")
                .whereLayer("cluster consensus")
                .mayOnlyBeAccessedByLayers(
                        "cluster",
                        "maintenance",
                        "maintenance scheduling",
                        "policy",
                        "policy rollout",
                        "router",
                        "simulation")
                .whereLayer("cluster membership")
                .mayOnlyBeAccessedByLayers(
                        "cluster",
                        "maintenance",
                        "maintenance scheduling",
                        "policy",
                        "router",
                        "simulation",
                        "cluster consensus",
                        "cluster transport")
                .whereLayer("maintenance")
                .mayOnlyBeAccessedByLayers("router", "simulation")
                .whereLayer("maintenance scheduling")
                .mayOnlyBeAccessedByLayers("maintenance", "router", "simulation")
                .whereLayer("policy rollout")
                .mayOnlyBeAccessedByLayers("policy", "router", "simulation", "experiment")
                .whereLayer("policy")
                .mayOnlyBeAccessedByLayers("router", "maintenance", "cli")
                .whereLayer("storage")
                .mayOnlyBeAccessedByLayers("cluster", "cluster consensus", "router")
                .whereLayer("simulation")
                .mayOnlyBeAccessedByLayers("experiment")
                .whereLayer("decision")
                .mayNotAccessAnyLayer()
                .check(ALL);
        slices().matching("tinlink.(*)..").should().beFreeOfCycles().check(ALL);
        slices().matching("tinlink.cluster.(*)..").should().beFreeOfCycles().check(ALL);
    }

    /** Experiments, in whichever package of theirs, know neither the command line nor the program's entry. */
    @Test
    void experimentsDoNotPointUp() {
        noClasses()
                .that()
                .resideInAPackage("tinlink.experiment..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("tinlink", "tinlink.cli..")
                .check(ALL);
    }

    /**
     * Clocks that step: what is agreed on by routers must not read one; changes of policy get
     * theirs given.
     */
    @Test
    void replicatedStateReadsNoClockThatCanStep() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "tinlink.cluster..", "tinlink.maintenance..", "tinlink.policy..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Test
    void decisionPackagesDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "tinlink.decision",
                        "tinlink.gateway.forwarding",
                        "tinlink.http2.pool",
                        "tinlink.cluster.membership",
                        "tinlink.maintenance.scheduling",
                        "tinlink.policy.rollout")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.util.logging..",
                        "java.util.concurrent..",
                        "java.time..",
                        "tinlink.net..")
                .check(ALL);
    }

    /** What decides in the cluster stands beside adapters: held to the same as packages that decide. */
    @Test
    void clusterDecisionsDoNoInputOrOutput() {
        for (String name : new String[] {
            "LogPosition", "RecoveryFloor", "VoterAdmission", "VoterReplacement", "LineCodec"
        }) {
            noClasses()
                    .that()
                    .haveNameMatching("tinlink\\.cluster\\.consensus\\." + name + "(\\$.*)?")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.io..",
                            "java.nio..",
                            "java.net..",
                            "java.util.logging..",
                            "java.util.concurrent..",
                            "java.time..",
                            "tinlink.net..")
                    .check(ALL);
        }
    }

    /** Of consensus, what schedules maintenance and what rolls out policy know the form of a line alone. */
    @Test
    void subsystemsThatDecideKnowOfConsensusOnlyTheLineForm() {
        noClasses()
                .that()
                .resideInAnyPackage("tinlink.maintenance.scheduling", "tinlink.policy.rollout")
                .should()
                .dependOnClassesThat(JavaClass.Predicates.resideInAPackage(
                                "tinlink.cluster.consensus")
                        .and(DescribedPredicate.not(JavaClass.Predicates.simpleName("LineCodec")))
                        .and(DescribedPredicate.not(
                                JavaClass.Predicates.simpleName("FieldReader"))))
                .check(ALL);
    }
}
