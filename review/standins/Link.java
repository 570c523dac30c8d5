package review;

import java.io.IOException;
import java.io.OutputStream;

/** A link with a limited rate, which all answers to a host share in small parts. */
final class Link {

    private static final int PART_BYTES = 8_192;

    private final double bytesPerNano;

    private long freeAtNanos = System.nanoTime();

    Link(double megabitsPerSecond) {
        this.bytesPerNano = megabitsPerSecond / 8 * 1e6 / 1e9;
    }

    void send(byte[] bytes, OutputStream out) throws IOException {
        for (int begin = 0; begin < bytes.length; begin += PART_BYTES) {
            int length = Math.min(PART_BYTES, bytes.length - begin);
            long sentAt = reserve(length);
            try {
                Thread.sleep(Math.max(0, (sentAt - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
            out.write(bytes, begin, length);
            out.flush();
        }
    }

    private synchronized long reserve(int length) {
        freeAtNanos = Math.max(freeAtNanos, System.nanoTime()) + (long) (length / bytesPerNano);
        return freeAtNanos;
    }
}
