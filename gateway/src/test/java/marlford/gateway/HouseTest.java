package marlford.gateway;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** The floors of the house: decisions and the pure modules see no socket, no file and no clock, and nothing above them. */
class HouseTest {
    private static final String[] PURE = {"marlford.gateway.metrics", "marlford.gateway.shutdown", "marlford.gateway.frame",
            "marlford.gateway.gossip", "marlford.gateway.guard", "marlford.gateway.lease", "marlford.gateway.list",
            "marlford.gateway.quota"};
    private static final String[] OUTSIDE = {"java.io..", "java.net..", "java.nio.channels..", "java.nio.file..",
            "java.time..", "java.util.concurrent..", "io.netty..", "com.fasterxml.."};
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("marlford.gateway");

    private static ArchRule seeNothingOutside(String... packages) {
        return noClasses().that().resideInAnyPackage(packages).should().dependOnClassesThat().resideInAnyPackage(OUTSIDE);
    }

    private static ArchRule askNoClock(String... packages) {
        return noClasses().that().resideInAnyPackage(packages).should().callMethod(System.class, "currentTimeMillis")
                .orShould().callMethod(System.class, "nanoTime");
    }

    @Test
    void pureModulesSeeNoSocketNoFileAndNoClock() {
        seeNothingOutside(PURE).check(ALL);
        askNoClock(PURE).check(ALL);
    }

    /** The decision module and what it is built of stand on the pure modules alone. */
    @Test
    void decisionsStandOnPureModulesAlone() {
        classes().that().resideInAPackage("marlford.gateway").and().doNotHaveSimpleName("Main").should()
                .onlyDependOnClassesThat().resideInAnyPackage("marlford.gateway", "marlford.gateway.metrics",
                        "marlford.gateway.frame", "marlford.gateway.gossip", "marlford.gateway.lease", "marlford.gateway.quota",
                        "java.lang..", "java.util", "java.util.function", "java.util.stream", "java.util.zip", "java.nio").check(ALL);
        askNoClock("marlford.gateway").check(ALL);
    }

    @Test
    void theQuotaModuleStandsAlone() {
        noClasses().that().resideInAPackage("marlford.gateway.quota").should().dependOnClassesThat()
                .resideInAnyPackage("marlford.gateway", "marlford.gateway.metrics", "marlford.gateway.net",
                        "marlford.gateway.gossip").check(ALL);
    }

    /** The rules can fail: what faces sockets breaks them. */
    @Test
    void theRulesFindASocket() {
        assertThrows(AssertionError.class, () -> seeNothingOutside("marlford.gateway.net").check(ALL));
        assertThrows(AssertionError.class, () -> askNoClock("marlford.gateway.net", "marlford.gateway.start").check(ALL));
    }
}
