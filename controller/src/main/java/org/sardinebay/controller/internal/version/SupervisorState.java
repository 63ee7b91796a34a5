package org.sardinebay.controller.internal.version;

import java.util.Optional;
import org.sardinebay.internal.version.DatabaseWatch;
import org.sardinebay.internal.version.PromotionMachine;
import org.sardinebay.internal.version.PromotionOutcome;
import org.sardinebay.internal.version.PromotionPlan;
import org.sardinebay.internal.version.WatchDuty;

/**
 * The state of a {@link DatabaseSupervisor}, valid only while its lock is held.
 *
 * @param duty the duty of this controller in watching the database
 * @param watch the state machine that monitors the database
 * @param running the promotion or publication in progress
 * @param lastPlan the plan of the last promotion
 * @param lastOutcome the outcome of the last promotion or publication
 */
public record SupervisorState(
    WatchDuty duty,
    DatabaseWatch watch,
    Optional<PromotionMachine> running,
    Optional<PromotionPlan> lastPlan,
    Optional<PromotionOutcome> lastOutcome) {}
