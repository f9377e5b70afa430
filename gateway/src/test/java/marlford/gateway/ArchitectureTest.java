package marlford.gateway;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Layering rules: the decision engine and the pure packages use no socket, no file and no clock, and nothing of higher layers. */
class ArchitectureTest {
    private static final String[] PURE_PACKAGES = {"marlford.gateway.metrics", "marlford.gateway.shutdown", "marlford.gateway.frame",
            "marlford.gateway.gossip", "marlford.gateway.guard", "marlford.gateway.lease", "marlford.gateway.list",
            "marlford.gateway.quota"};
    private static final String[] OUTSIDE_PACKAGES = {"java.io..", "java.net..", "java.nio.channels..", "java.nio.file..",
            "java.time..", "java.util.concurrent..", "io.netty..", "com.fasterxml.."};
    private static final JavaClasses GATEWAY_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("marlford.gateway");

    private static ArchRule useNothingOutside(String... packages) {
        return noClasses().that().resideInAnyPackage(packages).should().dependOnClassesThat().resideInAnyPackage(OUTSIDE_PACKAGES);
    }

    private static ArchRule readNoClock(String... packages) {
        return noClasses().that().resideInAnyPackage(packages).should().callMethod(System.class, "currentTimeMillis")
                .orShould().callMethod(System.class, "nanoTime");
    }

    @Test
    void purePackagesUseNoSocketNoFileAndNoClock() {
        useNothingOutside(PURE_PACKAGES).check(GATEWAY_CLASSES);
        readNoClock(PURE_PACKAGES).check(GATEWAY_CLASSES);
    }

    /** The decision engine depends on pure packages only. */
    @Test
    void decisionEngineDependsOnPurePackagesOnly() {
        classes().that().resideInAPackage("marlford.gateway").and().doNotHaveSimpleName("Main").should()
                .onlyDependOnClassesThat().resideInAnyPackage("marlford.gateway", "marlford.gateway.metrics",
                        "marlford.gateway.frame", "marlford.gateway.gossip", "marlford.gateway.lease", "marlford.gateway.quota",
                        "java.lang..", "java.util", "java.util.function", "java.util.stream", "java.util.zip", "java.nio")
                .check(GATEWAY_CLASSES);
        readNoClock("marlford.gateway").check(GATEWAY_CLASSES);
    }

    @Test
    void quotaPackageDoesNotDependOnTheEngineOrItsOtherPackages() {
        noClasses().that().resideInAPackage("marlford.gateway.quota").should().dependOnClassesThat()
                .resideInAnyPackage("marlford.gateway", "marlford.gateway.metrics", "marlford.gateway.net",
                        "marlford.gateway.gossip").check(GATEWAY_CLASSES);
    }

    /** Proves that the rules can fail: packages that use sockets or a clock break them. */
    @Test
    void rulesDetectSocketsAndClocks() {
        assertThrows(AssertionError.class, () -> useNothingOutside("marlford.gateway.net").check(GATEWAY_CLASSES));
        assertThrows(AssertionError.class, () -> readNoClock("marlford.gateway.net", "marlford.gateway.start").check(GATEWAY_CLASSES));
    }
}
