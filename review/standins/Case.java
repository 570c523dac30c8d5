package review;

import java.nio.file.Path;
import java.util.List;

/** Runs one case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {

    private static final int HELD = 0;

    private static final int BROKEN = 1;

    private static final int NOT_RUN = 2;

    private static final long LONGEST_MILLIS = 112_000;

    /**
     * Plays the case.
     *
     * @param trouble whether the disruption takes place
     * @return what broke the rule, empty if it held
     */
    abstract List<String> play(Record record, boolean trouble) throws Exception;

    static void run(Case each, String[] arguments) {
        // Without it, the answers of the stand-ins wait for delayed acknowledgements.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        int status = NOT_RUN;
        try {
            Record record = new Record(Path.of(arguments[0], "record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.line("TROUBLE=%s", trouble ? "1" : "0");
            Daemons.after(LONGEST_MILLIS, () -> {
                record.line("the case takes too long");
                System.exit(NOT_RUN);
            });
            List<String> broken = each.play(record, trouble);
            broken.stream().limit(20).forEach(line -> record.line("BROKEN: %s", line));
            record.line("result: %s, %d findings", broken.isEmpty() ? "the rule held" : "the rule is broken", broken.size());
            System.out.println((broken.isEmpty() ? "held" : "broken: " + broken.get(0)) + " (" + broken.size() + ")");
            status = broken.isEmpty() ? HELD : BROKEN;
        } catch (Exception e) {
            System.out.println("not run: " + e);
            e.printStackTrace();
        }
        System.exit(status);
    }
}
