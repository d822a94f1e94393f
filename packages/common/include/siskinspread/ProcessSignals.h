#pragma once

namespace siskinspread {

/**
 * Keeps SIGHUP, SIGTERM and SIGINT pending for the calling thread and those that it starts. To be called first in main: a process may be
 * signalled as soon as it runs, and the default action of these signals ends it. Thread safety: concerns the calling thread only.
 */
void blockProcessSignals();

/** Lets the calling thread take what is pending. Precondition: handlers are installed. Thread safety: as blockProcessSignals. */
void unblockProcessSignals();

} // namespace siskinspread
