package org.sardinebay.controller.internal.version;

import java.util.Optional;
import org.sardinebay.internal.version.DatabaseWatch;
import org.sardinebay.internal.version.PromotionOutcome;
import org.sardinebay.internal.version.PromotionPlan;
import org.sardinebay.internal.version.PromotionStateMachine;
import org.sardinebay.internal.version.WatchAssignment;

/**
 * The state of a {@link DatabaseSupervisor}, valid only while its lock is held.
 *
 * @param assignment this controller's assignment to the watch of the database
 * @param watch the state machine that monitors the database
 * @param running the promotion or publication in progress
 * @param lastPlan the plan of the last promotion
 * @param lastOutcome the outcome of the last promotion or publication
 */
public record SupervisorState(
    WatchAssignment assignment,
    DatabaseWatch watch,
    Optional<PromotionStateMachine> running,
    Optional<PromotionPlan> lastPlan,
    Optional<PromotionOutcome> lastOutcome) {}
