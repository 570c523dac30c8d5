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

/** Reads the test reports of all modules and fails if a test failed that KNOWN-RED.txt does not list. */
public final class KnownRedCheck {

    private static final String LIST_FILE = "KNOWN-RED.txt";

    private static final String TEST_PREFIX = "test: ";

    private final Set<String> known = new TreeSet<>();

    private final Set<String> failed = new TreeSet<>();

    private int tests;

    private int skipped;

    private KnownRedCheck() {}

    /**
     * Checks the reports.
     *
     * @param arguments the root folder of the project
     * @throws IOException if a report cannot be read
     */
    public static void main(String[] arguments) throws IOException {
        KnownRedCheck check = new KnownRedCheck();
        Path root = Path.of(arguments[0]);
        check.readList(root.resolve(LIST_FILE));
        requireOneEngine(root);
        check.readReports(root);
        check.report();
    }

    private void readList(Path file) throws IOException {
        Files.readAllLines(file).stream()
                .filter(line -> line.startsWith(TEST_PREFIX))
                .forEach(line -> known.add(line.substring(TEST_PREFIX.length()).trim()));
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

    /** Refuses test classes of two engines: the report of one would replace that of the other. */
    private static void requireOneEngine(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            List<Path> tests = files.filter(file -> file.toString().endsWith("Test.java"))
                    .sorted()
                    .toList();
            for (Path test : tests) {
                String text = Files.readString(test);
                if (text.contains("net.jqwik.api.Property;") && text.contains("org.junit.jupiter.api.Test;")) {
                    throw new IllegalStateException(test.getFileName() + " mixes two test engines");
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
        NodeList cases;
        try {
            cases = DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .parse(report.toFile())
                    .getElementsByTagName("testcase");
        } catch (ParserConfigurationException | SAXException e) {
            throw new IOException("cannot read " + report, e);
        }
        for (int i = 0; i < cases.getLength(); i++) {
            readCase((Element) cases.item(i));
        }
    }

    private void readCase(Element element) {
        tests++;
        if (element.getElementsByTagName("skipped").getLength() > 0) {
            skipped++;
        }
        boolean red = element.getElementsByTagName("failure").getLength() > 0
                || element.getElementsByTagName("error").getLength() > 0;
        if (red) {
            String method = element.getAttribute("name").replaceAll("[({].*", "");
            failed.add(element.getAttribute("classname") + "#" + method);
        }
    }

    private void report() {
        for (String test : failed) {
            System.out.println((known.contains(test) ? "known red: " : "FAILED: ") + test);
        }
        for (String test : known) {
            if (!failed.contains(test)) {
                System.out.println("listed as known red, but not failing: " + test);
            }
        }
        int passed = tests - failed.size() - skipped;
        System.out.println(passed + " passed, " + failed.size() + " failed, " + skipped + " skipped");
        if (tests == 0 || !known.containsAll(failed)) {
            throw new IllegalStateException("tests failed that " + LIST_FILE + " does not list, or none ran");
        }
    }
}
