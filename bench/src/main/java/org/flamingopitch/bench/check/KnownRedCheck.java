package org.flamingopitch.bench.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * Fails the build if a test failed that KNOWN-RED.txt does not list, or if no test ran. Reads the Surefire reports of
 * all modules.
 */
public final class KnownRedCheck {

    private static final String LIST_FILE = "KNOWN-RED.txt";

    private static final String TEST_PREFIX = "test: ";

    private final Set<String> knownFailures = new TreeSet<>();

    private final Set<String> failedTests = new TreeSet<>();

    private int testCount;

    private int skippedCount;

    private KnownRedCheck() {}

    /**
     * Checks the test reports of all modules and prints the result.
     *
     * @param arguments the root directory of the project
     * @throws IOException if a file cannot be read
     */
    public static void main(String[] arguments) throws IOException {
        KnownRedCheck check = new KnownRedCheck();
        Path root = Path.of(arguments[0]);
        check.readKnownFailures(root.resolve(LIST_FILE));
        requireSingleEnginePerClass(root);
        check.readReports(root);
        check.printResult();
    }

    private void readKnownFailures(Path file) throws IOException {
        Files.readAllLines(file).stream()
                .filter(line -> line.startsWith(TEST_PREFIX))
                .forEach(line ->
                        knownFailures.add(line.substring(TEST_PREFIX.length()).trim()));
    }

    private void readReports(Path root) throws IOException {
        List<Path> reports = new ArrayList<>();
        try (Stream<Path> modules = Files.list(root)) {
            for (Path module : modules.toList()) {
                Path folder = module.resolve("target/surefire-reports");
                if (Files.isDirectory(folder)) {
                    addReports(folder, reports);
                }
            }
        }
        for (Path report : reports) {
            readReport(report);
        }
    }

    /**
     * Rejects test classes that mix JUnit Jupiter and jqwik tests: the engines write to the same report file, so that
     * the results of one would be lost.
     */
    private static void requireSingleEnginePerClass(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            List<Path> testFiles = files.filter(file -> file.toString().endsWith("Test.java"))
                    .sorted()
                    .toList();
            for (Path testFile : testFiles) {
                String text = Files.readString(testFile);
                if (text.contains("net.jqwik.api.Property;") && text.contains("org.junit.jupiter.api.Test;")) {
                    throw new IllegalStateException(testFile.getFileName()
                            + " mixes JUnit Jupiter and jqwik tests; move one kind to another class");
                }
            }
        }
    }

    private static void addReports(Path folder, List<Path> reports) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            files.filter(file -> file.getFileName().toString().startsWith("TEST-"))
                    .sorted()
                    .forEach(reports::add);
        }
    }

    private void readReport(Path report) throws IOException {
        NodeList testCases;
        try {
            testCases = DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .parse(report.toFile())
                    .getElementsByTagName("testcase");
        } catch (ParserConfigurationException | SAXException e) {
            throw new IOException("cannot parse test report " + report, e);
        }
        for (int i = 0; i < testCases.getLength(); i++) {
            readTestCase((Element) testCases.item(i));
        }
    }

    private void readTestCase(Element element) {
        testCount++;
        if (element.getElementsByTagName("skipped").getLength() > 0) {
            skippedCount++;
        }
        boolean hasFailed = element.getElementsByTagName("failure").getLength() > 0
                || element.getElementsByTagName("error").getLength() > 0;
        if (hasFailed) {
            String method = element.getAttribute("name").replaceAll("[({].*", "");
            failedTests.add(element.getAttribute("classname") + "#" + method);
        }
    }

    private void printResult() {
        for (String test : failedTests) {
            System.out.println((knownFailures.contains(test) ? "known red: " : "FAILED: ") + test);
        }
        for (String test : knownFailures) {
            if (!failedTests.contains(test)) {
                System.out.println("listed as known red, but did not fail: " + test);
            }
        }
        int passed = testCount - failedTests.size() - skippedCount;
        System.out.println(passed + " passed, " + failedTests.size() + " failed, " + skippedCount + " skipped");
        if (testCount == 0 || !knownFailures.containsAll(failedTests)) {
            throw new IllegalStateException("a test failed that " + LIST_FILE + " does not list, or no test ran");
        }
    }
}
