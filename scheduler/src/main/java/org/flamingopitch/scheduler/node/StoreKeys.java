package org.flamingopitch.scheduler.node;

/** The keys in the platform's key-value service. */
public final class StoreKeys {

    /** The prefix of everything that every process follows. */
    public static final String FOLLOWED = "flamingopitch/followed/";

    /** The prefix of the members' keys. */
    public static final String MEMBERS = FOLLOWED + "members/";

    /** The prefix of the ownership groups' keys. */
    public static final String OWNERS = FOLLOWED + "owners/";

    /** The key of the configuration. */
    public static final String CONFIG = FOLLOWED + "config";

    /** The prefix of the shards' journals, which nobody follows. */
    public static final String JOURNALS = "flamingopitch/journals/";

    private StoreKeys() {}
}
