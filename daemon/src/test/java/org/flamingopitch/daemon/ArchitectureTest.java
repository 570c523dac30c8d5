package org.flamingopitch.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The directions between the modules, and what the core may not do. */
@AnalyzeClasses(packages = "org.flamingopitch", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {

    @ArchTest
    static final ArchRule COORDINATION_KNOWS_NO_OTHER_MODULE = noClasses()
            .that()
            .resideInAPackage("..coordination..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("..scheduler..", "..daemon..", "..standins..", "..transport..");

    @ArchTest
    static final ArchRule SCHEDULER_KNOWS_ONLY_COORDINATION = noClasses()
            .that()
            .resideInAPackage("..scheduler..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("..daemon..", "..standins..", "..transport..");

    @ArchTest
    static final ArchRule STAND_INS_KNOW_NOTHING_OF_THE_SCHEDULER = noClasses()
            .that()
            .resideInAPackage("..standins..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("..daemon..", "..scheduler..");

    @ArchTest
    static final ArchRule CORE_HAS_NO_IO_THREADS_OR_RANDOMNESS = noClasses()
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
    static final ArchRule CORE_READS_NO_CLOCK = noClasses()
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
    static final ArchRule NO_READY_MADE_PROXY =
            noClasses().should().dependOnClassesThat().resideInAPackage("io.undertow.server.handlers.proxy..");

    @ArchTest
    static final ArchRule NO_PROCESS_IS_STARTED =
            noClasses().should().dependOnClassesThat().areAssignableTo(ProcessBuilder.class);

    @ArchTest
    static final ArchRule RECORDS_OF_THE_MODEL_ARE_PUBLIC = classes()
            .that()
            .resideInAPackage("..scheduler.model..")
            .and()
            .areRecords()
            .should()
            .bePublic();

    private ArchitectureTest() {}
}
