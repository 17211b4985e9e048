package io.hornbeamscale.core.limit;

/** A token bucket. Unconditional use may make the balance negative. */
final class TokenBucket {
    private double ratePerMilli;
    private double burst;
    private double balance;
    private long updatedMillis;

    TokenBucket(double ratePerSecond, double burst, long nowMillis) {
        this.ratePerMilli = ratePerSecond / 1e3;
        this.burst = burst;
        this.balance = burst;
        this.updatedMillis = nowMillis;
    }

    void setRate(double ratePerSecond, double nextBurst, long nowMillis) {
        refill(nowMillis);
        ratePerMilli = ratePerSecond / 1e3;
        burst = nextBurst;
        balance = Math.min(balance, burst);
    }

    private void refill(long nowMillis) {
        long elapsed = Math.max(0, nowMillis - updatedMillis);
        balance = Math.min(burst, balance + elapsed * ratePerMilli);
        updatedMillis = Math.max(updatedMillis, nowMillis);
    }

    /**
     * Returns the time until an amount is available, in milliseconds, at most 60,000; 0 if it is available now. An
     * amount above the burst size needs a full bucket.
     */
    long waitMillis(double amount, long nowMillis) {
        refill(nowMillis);
        double missing = Math.min(amount, burst) - balance;
        if (missing <= 1e-9) {
            return 0;
        }
        return ratePerMilli <= 0 ? 60_000 : (long) Math.min(60_000, Math.ceil(missing / ratePerMilli));
    }

    void take(double amount, long nowMillis) {
        refill(nowMillis);
        balance -= amount;
    }
}
