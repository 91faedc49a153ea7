package topazladder.rig;

import io.vertx.core.json.JsonObject;

/**
 * A cluster to be measured: voters as processes of their own, real service instances under load, and hollow members.
 *
 * @param hollow members
 * @param real service instances that do not vote, each a process under load
 * @param voters each a process without callers
 * @param leases that one member at a time holds
 * @param changes restarts of hollow members a minute during the measurement
 * @param settleSeconds between the last start and the measurement
 * @param seconds of the measurement
 * @param eachProcess hollow members in one process at the most
 * @param load of the real instances' cores by callers; 0 for no callers
 * @param seed of chance
 */
public record ScaleSettings(int hollow, int real, int voters, int leases, double changes, double settleSeconds,
        double seconds, int eachProcess, double load, long seed) {

    /** Members in all. */
    public int members() {
        return hollow + real + voters;
    }

    public ScaleSettings withHollow(int members) {
        return new ScaleSettings(members, real, voters, leases, changes, settleSeconds, seconds, eachProcess, load,
                seed);
    }

    public ScaleSettings withLeases(int held) {
        return new ScaleSettings(hollow, real, voters, held, changes, settleSeconds, seconds, eachProcess, load, seed);
    }

    public ScaleSettings withVoters(int voting) {
        return new ScaleSettings(hollow, real, voting, leases, changes, settleSeconds, seconds, eachProcess, load,
                seed);
    }

    public ScaleSettings withChanges(double aMinute) {
        return new ScaleSettings(hollow, real, voters, leases, aMinute, settleSeconds, seconds, eachProcess, load,
                seed);
    }

    public ScaleSettings withReal(int processes) {
        return new ScaleSettings(hollow, processes, voters, leases, changes, settleSeconds, seconds, eachProcess, load,
                seed);
    }

    int hollowProcesses() {
        return (hollow + eachProcess - 1) / eachProcess;
    }

    JsonObject json() {
        return new JsonObject().put("hollow", hollow).put("real", real).put("voters", voters).put("leases", leases)
                .put("changes", changes).put("settleSeconds", settleSeconds).put("seconds", seconds)
                .put("eachProcess", eachProcess).put("load", load).put("seed", seed);
    }

    static ScaleSettings of(JsonObject json) {
        return new ScaleSettings(json.getInteger("hollow"), json.getInteger("real"), json.getInteger("voters"),
                json.getInteger("leases"), json.getDouble("changes"), json.getDouble("settleSeconds"),
                json.getDouble("seconds"), json.getInteger("eachProcess"), json.getDouble("load"),
                json.getLong("seed"));
    }
}
