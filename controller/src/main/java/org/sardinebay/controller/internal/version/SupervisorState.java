package org.sardinebay.controller.internal.version;

import java.util.Optional;
import org.sardinebay.internal.version.DatabaseWatch;
import org.sardinebay.internal.version.PromotionMachine;
import org.sardinebay.internal.version.PromotionOutcome;
import org.sardinebay.internal.version.PromotionPlan;
import org.sardinebay.internal.version.WatchDuty;

/**
 * The state of one database's supervision, valid while its lock is held.
 *
 * @param duty the part of this controller in the watch
 * @param watch the watch
 * @param running the promotion in progress
 * @param lastPlan what the last promotion started from
 * @param lastOutcome how the last promotion ended
 */
public record SupervisorState(
    WatchDuty duty,
    DatabaseWatch watch,
    Optional<PromotionMachine> running,
    Optional<PromotionPlan> lastPlan,
    Optional<PromotionOutcome> lastOutcome) {}
