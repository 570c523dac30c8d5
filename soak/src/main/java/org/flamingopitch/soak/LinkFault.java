package org.flamingopitch.soak;

/** What a {@link LoopbackProxy} does with the bytes of its connections. */
enum LinkFault {
    NONE(false, false, 0),
    DELAY(false, false, 400),
    CUT_REQUESTS(true, false, 0),
    CUT_ANSWERS(false, true, 0),
    SILENCE(true, true, 0),
    /** Resets the open connections once. */
    RESET(false, false, 0);

    private final boolean holdsRequests;

    private final boolean holdsAnswers;

    private final long delayMillis;

    LinkFault(boolean holdsRequests, boolean holdsAnswers, long delayMillis) {
        this.holdsRequests = holdsRequests;
        this.holdsAnswers = holdsAnswers;
        this.delayMillis = delayMillis;
    }

    boolean holds(boolean request) {
        return request ? holdsRequests : holdsAnswers;
    }

    long delayMillis() {
        return delayMillis;
    }
}
