package topazladder.net.codec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.hall.proto.BudgetMessage;
import topazladder.hall.proto.CapacityMessage;
import topazladder.hall.proto.OutMessage;
import topazladder.hall.proto.OutOpMessage;
import topazladder.hall.proto.OutOpMessage.Kind;
import topazladder.hall.proto.OutsCopy;
import topazladder.hall.proto.SubjectMessage;

/** What the group agrees on about outs, as messages and back. */
final class OutMessages {

    private OutMessages() {}

    private static SubjectMessage subject(DisruptionTarget s) {
        return SubjectMessage.newBuilder().setKind(s.kind().ordinal()).setName(s.name()).setZone(s.zone()).build();
    }

    private static DisruptionTarget subject(SubjectMessage s) throws MalformedMessageException {
        return new DisruptionTarget(one(DisruptionTarget.Kind.values(), s.getKind()),
                IdentityMessages.name(s.getName()),
                s.getZone());
    }

    static <T> T one(T[] of, int at) throws MalformedMessageException {
        if (at < 0 || at >= of.length) {
            throw new MalformedMessageException("number " + at + " of " + of.length);
        }
        return of[at];
    }

    private static BudgetMessage budget(DisruptionBudget b) {
        return BudgetMessage.newBuilder().setName(b.name()).setKind(b.kind().ordinal()).setZone(b.zone())
                .setMost(b.maxUnavailable()).setShare(b.maxCapacityShare()).build();
    }

    private static List<DisruptionBudget> budgets(List<BudgetMessage> all) throws MalformedMessageException {
        List<DisruptionBudget> budgets = new ArrayList<>();
        for (BudgetMessage b : all) {
            budgets.add(new DisruptionBudget(b.getName(), one(DisruptionTarget.Kind.values(), b.getKind()), b.getZone(),
                    b.getMost(),
                    b.getShare()));
        }
        return List.copyOf(budgets);
    }

    static OutOpMessage op(DisruptionCommand op) {
        OutOpMessage.Builder b = OutOpMessage.newBuilder();
        if (op instanceof DisruptionCommand.SetBudgets x) {
            b.setKind(Kind.BUDGETS).addAllBudgets(x.budgets().stream().map(OutMessages::budget).toList());
        } else if (op instanceof DisruptionCommand.SetCapacity x) {
            b.setKind(Kind.KNOWN).setSubject(subject(x.target())).setCapacity(x.capacityPerSecond());
        } else if (op instanceof DisruptionCommand.Forget x) {
            b.setKind(Kind.FORGOTTEN).setSubject(subject(x.target()));
        } else if (op instanceof DisruptionCommand.Request x) {
            b.setKind(Kind.ASK).setSubject(subject(x.target())).setWhy(x.reason().ordinal()).setRequest(x.requestId())
                    .setBy(x.requestedBy());
        } else if (op instanceof DisruptionCommand.Grant x) {
            b.setKind(Kind.GRANT).setSubject(subject(x.target())).setRequest(x.requestId()).setLife(x.incarnation());
        } else if (op instanceof DisruptionCommand.Withdraw x) {
            b.setKind(Kind.WITHDRAW).setSubject(subject(x.target())).setRequest(x.requestId());
        } else if (op instanceof DisruptionCommand.Leaving x) {
            b.setKind(Kind.LEAVES).setSubject(subject(x.target())).setToken(x.token()).setLife(x.incarnation())
                    .setBy(x.requestedBy());
        } else if (op instanceof DisruptionCommand.Lost x) {
            b.setKind(Kind.LOST).setSubject(subject(x.target())).setLife(x.incarnation());
        } else if (op instanceof DisruptionCommand.Returning x) {
            b.setKind(Kind.RETURNS).setSubject(subject(x.target())).setLife(x.incarnation());
        } else if (op instanceof DisruptionCommand.Steady x) {
            b.setKind(Kind.STEADY).setSubject(subject(x.target()));
        } else if (op instanceof DisruptionCommand.Rejoin x) {
            b.setKind(Kind.REJOINS).setSubject(subject(x.target()));
        } else if (op instanceof DisruptionCommand.KeepOut x) {
            b.setKind(Kind.KEEPS).setSubject(subject(x.target())).setRequest(x.requestId()).setBy(x.requestedBy());
        } else if (op instanceof DisruptionCommand.GiveUp x) {
            b.setKind(Kind.GIVEN_UP).setSubject(subject(x.target())).setBy(x.requestedBy());
        } else if (op instanceof DisruptionCommand.SuspendGrants x) {
            b.setKind(Kind.HALT).setHalted(x.reason() != null).setBy(x.reason() == null ? "" : x.reason());
        }
        return b.build();
    }

    static DisruptionCommand op(OutOpMessage m) throws MalformedMessageException {
        return switch (m.getKind()) {
            case BUDGETS -> new DisruptionCommand.SetBudgets(budgets(m.getBudgetsList()));
            case KNOWN -> new DisruptionCommand.SetCapacity(subject(m.getSubject()), m.getCapacity());
            case FORGOTTEN -> new DisruptionCommand.Forget(subject(m.getSubject()));
            case ASK -> new DisruptionCommand.Request(subject(m.getSubject()),
                    one(Disruption.Reason.values(), m.getWhy()),
                    m.getRequest(),
                    m.getBy());
            case GRANT -> new DisruptionCommand.Grant(subject(m.getSubject()), m.getRequest(), m.getLife());
            case WITHDRAW -> new DisruptionCommand.Withdraw(subject(m.getSubject()), m.getRequest());
            case LEAVES -> new DisruptionCommand.Leaving(subject(m.getSubject()), m.getToken(), m.getLife(), m.getBy());
            case LOST -> new DisruptionCommand.Lost(subject(m.getSubject()), m.getLife());
            case RETURNS -> new DisruptionCommand.Returning(subject(m.getSubject()), m.getLife());
            case STEADY -> new DisruptionCommand.Steady(subject(m.getSubject()));
            case REJOINS -> new DisruptionCommand.Rejoin(subject(m.getSubject()));
            case KEEPS -> new DisruptionCommand.KeepOut(subject(m.getSubject()), m.getRequest(), m.getBy());
            case GIVEN_UP -> new DisruptionCommand.GiveUp(subject(m.getSubject()), m.getBy());
            case HALT -> new DisruptionCommand.SuspendGrants(m.getHalted() ? m.getBy() : null);
            case UNKNOWN, UNRECOGNIZED -> throw new MalformedMessageException(
                    "an operation that this version does not know");
        };
    }

    static OutMessage out(Disruption o) {
        return OutMessage.newBuilder().setSubject(subject(o.target())).setWhy(o.reason().ordinal())
                .setPhase(o.phase().ordinal()).setRequest(o.requestId()).setToken(o.token()).setLife(o.incarnation())
                .setAsked(o.requestOrder()).setBy(o.requestedBy()).build();
    }

    static Disruption out(OutMessage o) throws MalformedMessageException {
        return new Disruption(subject(o.getSubject()), one(Disruption.Reason.values(), o.getWhy()),
                one(Disruption.Phase.values(),
                        o.getPhase()),
                o.getRequest(), o.getToken(), o.getLife(), o.getAsked(), o.getBy());
    }

    static OutsCopy copy(DisruptionStateMachine.Snapshot c) {
        OutsCopy.Builder b = OutsCopy.newBuilder().setTokens(c.lastToken()).setAsked(c.lastRequestOrder())
                .setIsHalted(c.suspendedReason() != null)
                .setHalted(c.suspendedReason() == null ? "" : c.suspendedReason())
                .addAllBudgets(c.budgets().stream().map(OutMessages::budget).toList());
        c.disruptions().forEach(o -> b.addOuts(out(o)));
        c.capacities().forEach((s, capacity) -> b.addCapacities(CapacityMessage.newBuilder().setSubject(subject(s))
                .setCapacity(capacity)));
        return b.build();
    }

    static DisruptionStateMachine.Snapshot copy(OutsCopy c) throws MalformedMessageException {
        List<Disruption> outs = new ArrayList<>();
        for (OutMessage o : c.getOutsList()) {
            outs.add(out(o));
        }
        Map<DisruptionTarget, Double> capacities = new HashMap<>();
        for (CapacityMessage m : c.getCapacitiesList()) {
            capacities.put(subject(m.getSubject()), m.getCapacity());
        }
        return new DisruptionStateMachine.Snapshot(List.copyOf(outs), Map.copyOf(capacities),
                budgets(c.getBudgetsList()),
                c.getTokens(),
                c.getAsked(), c.getIsHalted() ? c.getHalted() : null);
    }
}
