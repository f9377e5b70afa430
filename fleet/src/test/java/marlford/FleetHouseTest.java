package marlford;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** The floors of the fleet's house: what is agreed and decided sees no socket, file or clock, and nothing above it. */
class FleetHouseTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("marlford");

    private static ArchRule pure(String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io..",
                        "com..",
                        "marlford.gateway..",
                        "marlford.consensus..",
                        "marlford.fleet..");
    }

    private static final String[] PURE = {
        "marlford.board",
        "marlford.lease",
        "marlford.health",
        "marlford.partition",
        "marlford.task",
        "marlford.polling",
        "marlford.usage",
        "marlford.membership",
        "marlford.register"
    };

    @Test
    void decisionsSeeNothingOutside() {
        pure(PURE).check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(PURE)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }
}
