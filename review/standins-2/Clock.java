/** The steady clock of the stand-ins, from the start of the script. */
final class Clock {

    private static final long START = System.nanoTime();

    private Clock() {}

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
