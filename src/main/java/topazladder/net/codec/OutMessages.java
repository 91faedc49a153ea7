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
                .setMost(b.most()).setShare(b.share()).build();
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
        if (op instanceof DisruptionCommand.Budgets x) {
            b.setKind(Kind.BUDGETS).addAllBudgets(x.budgets().stream().map(OutMessages::budget).toList());
        } else if (op instanceof DisruptionCommand.Known x) {
            b.setKind(Kind.KNOWN).setSubject(subject(x.subject())).setCapacity(x.capacity());
        } else if (op instanceof DisruptionCommand.Forgotten x) {
            b.setKind(Kind.FORGOTTEN).setSubject(subject(x.subject()));
        } else if (op instanceof DisruptionCommand.Ask x) {
            b.setKind(Kind.ASK).setSubject(subject(x.subject())).setWhy(x.why().ordinal()).setRequest(x.request())
                    .setBy(x.by());
        } else if (op instanceof DisruptionCommand.Grant x) {
            b.setKind(Kind.GRANT).setSubject(subject(x.subject())).setRequest(x.request()).setLife(x.life());
        } else if (op instanceof DisruptionCommand.Withdraw x) {
            b.setKind(Kind.WITHDRAW).setSubject(subject(x.subject())).setRequest(x.request());
        } else if (op instanceof DisruptionCommand.Leaves x) {
            b.setKind(Kind.LEAVES).setSubject(subject(x.subject())).setToken(x.token()).setLife(x.life())
                    .setBy(x.by());
        } else if (op instanceof DisruptionCommand.Lost x) {
            b.setKind(Kind.LOST).setSubject(subject(x.subject())).setLife(x.life());
        } else if (op instanceof DisruptionCommand.Returns x) {
            b.setKind(Kind.RETURNS).setSubject(subject(x.subject())).setLife(x.life());
        } else if (op instanceof DisruptionCommand.Steady x) {
            b.setKind(Kind.STEADY).setSubject(subject(x.subject()));
        } else if (op instanceof DisruptionCommand.Rejoins x) {
            b.setKind(Kind.REJOINS).setSubject(subject(x.subject()));
        } else if (op instanceof DisruptionCommand.Keeps x) {
            b.setKind(Kind.KEEPS).setSubject(subject(x.subject())).setRequest(x.request()).setBy(x.by());
        } else if (op instanceof DisruptionCommand.GivenUp x) {
            b.setKind(Kind.GIVEN_UP).setSubject(subject(x.subject())).setBy(x.by());
        } else if (op instanceof DisruptionCommand.Halt x) {
            b.setKind(Kind.HALT).setHalted(x.why() != null).setBy(x.why() == null ? "" : x.why());
        }
        return b.build();
    }

    static DisruptionCommand op(OutOpMessage m) throws MalformedMessageException {
        return switch (m.getKind()) {
            case BUDGETS -> new DisruptionCommand.Budgets(budgets(m.getBudgetsList()));
            case KNOWN -> new DisruptionCommand.Known(subject(m.getSubject()), m.getCapacity());
            case FORGOTTEN -> new DisruptionCommand.Forgotten(subject(m.getSubject()));
            case ASK -> new DisruptionCommand.Ask(subject(m.getSubject()), one(Disruption.Why.values(), m.getWhy()),
                    m.getRequest(),
                    m.getBy());
            case GRANT -> new DisruptionCommand.Grant(subject(m.getSubject()), m.getRequest(), m.getLife());
            case WITHDRAW -> new DisruptionCommand.Withdraw(subject(m.getSubject()), m.getRequest());
            case LEAVES -> new DisruptionCommand.Leaves(subject(m.getSubject()), m.getToken(), m.getLife(), m.getBy());
            case LOST -> new DisruptionCommand.Lost(subject(m.getSubject()), m.getLife());
            case RETURNS -> new DisruptionCommand.Returns(subject(m.getSubject()), m.getLife());
            case STEADY -> new DisruptionCommand.Steady(subject(m.getSubject()));
            case REJOINS -> new DisruptionCommand.Rejoins(subject(m.getSubject()));
            case KEEPS -> new DisruptionCommand.Keeps(subject(m.getSubject()), m.getRequest(), m.getBy());
            case GIVEN_UP -> new DisruptionCommand.GivenUp(subject(m.getSubject()), m.getBy());
            case HALT -> new DisruptionCommand.Halt(m.getHalted() ? m.getBy() : null);
            case UNKNOWN, UNRECOGNIZED -> throw new MalformedMessageException(
                    "an operation that this version does not know");
        };
    }

    static OutMessage out(Disruption o) {
        return OutMessage.newBuilder().setSubject(subject(o.subject())).setWhy(o.why().ordinal())
                .setPhase(o.phase().ordinal()).setRequest(o.request()).setToken(o.token()).setLife(o.life())
                .setAsked(o.asked()).setBy(o.by()).build();
    }

    static Disruption out(OutMessage o) throws MalformedMessageException {
        return new Disruption(subject(o.getSubject()), one(Disruption.Why.values(), o.getWhy()),
                one(Disruption.Phase.values(),
                        o.getPhase()),
                o.getRequest(), o.getToken(), o.getLife(), o.getAsked(), o.getBy());
    }

    static OutsCopy copy(DisruptionStateMachine.Copy c) {
        OutsCopy.Builder b = OutsCopy.newBuilder().setTokens(c.tokens()).setAsked(c.asked())
                .setIsHalted(c.halted() != null).setHalted(c.halted() == null ? "" : c.halted())
                .addAllBudgets(c.budgets().stream().map(OutMessages::budget).toList());
        c.outs().forEach(o -> b.addOuts(out(o)));
        c.capacities().forEach((s, capacity) -> b.addCapacities(CapacityMessage.newBuilder().setSubject(subject(s))
                .setCapacity(capacity)));
        return b.build();
    }

    static DisruptionStateMachine.Copy copy(OutsCopy c) throws MalformedMessageException {
        List<Disruption> outs = new ArrayList<>();
        for (OutMessage o : c.getOutsList()) {
            outs.add(out(o));
        }
        Map<DisruptionTarget, Double> capacities = new HashMap<>();
        for (CapacityMessage m : c.getCapacitiesList()) {
            capacities.put(subject(m.getSubject()), m.getCapacity());
        }
        return new DisruptionStateMachine.Copy(List.copyOf(outs), Map.copyOf(capacities), budgets(c.getBudgetsList()),
                c.getTokens(),
                c.getAsked(), c.getIsHalted() ? c.getHalted() : null);
    }
}
