package io.banyantally.standins.load;

/**
 * A client account of the accounts file.
 *
 * @param key the API key that its requests carry
 * @param share its weight in the distribution of requests, relative to the other accounts
 */
public record LoadAccount(String account, String key, double share) {

    /** Rejects an account without name or key, or with a share of 0 or less. */
    public LoadAccount {
        if (account == null || account.isEmpty() || key == null || key.isEmpty()) {
            throw new IllegalArgumentException(
                    "account '" + account + "' is not valid; set 'account' and 'key' in the accounts file");
        }
        if (share <= 0) {
            throw new IllegalArgumentException(
                    "share " + share + " of account '" + account + "' is not valid; use a number above 0");
        }
    }
}
