package org.flamingopitch.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks which modules may depend on each other, and which libraries and methods may not be used. */
@AnalyzeClasses(packages = "org.flamingopitch", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {

    @ArchTest
    static final ArchRule COORDINATION_DEPENDS_ON_NO_OTHER_MODULE = noClasses()
            .that()
            .resideInAPackage("..coordination..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("..scheduler..", "..daemon..", "..standins..", "..transport..");

    @ArchTest
    static final ArchRule SCHEDULER_DEPENDS_ON_COORDINATION_ONLY = noClasses()
            .that()
            .resideInAPackage("..scheduler..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("..daemon..", "..standins..", "..transport..");

    @ArchTest
    static final ArchRule DECISIONS_DO_NOT_REACH_INTO_THE_STATE_OF_THE_OWNER = noClasses()
            .that()
            .resideInAnyPackage(
                    "..cell.admission..", "..cell.speculation..", "..cell.locality..", "..cell.disruption..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("..cell.owner..", "..cell.entry..", "..cell.port..");

    @ArchTest
    static final ArchRule STAND_INS_DO_NOT_DEPEND_ON_SCHEDULER_OR_DAEMON = noClasses()
            .that()
            .resideInAPackage("..standins..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("..daemon..", "..scheduler..");

    @ArchTest
    static final ArchRule SCHEDULER_USES_NO_IO_THREADS_OR_JAVA_UTIL_RANDOM = noClasses()
            .that()
            .resideInAPackage("..scheduler..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.io..", "java.net..", "java.nio.file..", "java.util.concurrent..", "io.undertow..")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Random")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.Thread");

    @ArchTest
    static final ArchRule SCHEDULER_AND_COORDINATION_READ_NO_SYSTEM_CLOCK = noClasses()
            .that()
            .resideInAnyPackage("..scheduler..", "..coordination..")
            .and()
            .doNotHaveSimpleName("SystemTimeSourceClock")
            .should()
            .callMethod(java.time.Instant.class, "now")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis");

    @ArchTest
    static final ArchRule UNDERTOW_PROXY_IS_NOT_USED =
            noClasses().should().dependOnClassesThat().resideInAPackage("io.undertow.server.handlers.proxy..");

    @ArchTest
    static final ArchRule PROCESS_BUILDER_IS_NOT_USED =
            noClasses().should().dependOnClassesThat().areAssignableTo(ProcessBuilder.class);

    @ArchTest
    static final ArchRule ONLY_THE_CHART_USES_PLOTTING_AND_GRAPHICS = noClasses()
            .that()
            .doNotHaveFullyQualifiedName("org.flamingopitch.daemon.analysis.WindowChart")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.jfree..", "java.awt..", "javax.imageio..");

    @ArchTest
    static final ArchRule MODEL_RECORDS_ARE_PUBLIC = classes()
            .that()
            .resideInAPackage("..scheduler.model..")
            .and()
            .areRecords()
            .should()
            .bePublic();

    private ArchitectureTest() {}
}
