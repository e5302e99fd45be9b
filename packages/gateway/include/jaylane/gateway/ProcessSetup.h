#pragma once

namespace jaylane::gateway {

/// Blocks the signals that a Gateway handles (SIGTERM, SIGINT, SIGHUP) until one does, and ignores
/// SIGPIPE. To be called first in main(): a signal that arrives during the start then waits instead
/// of ending the process.
void HoldSignals();

/// Makes the allocator return the memory of large blocks, as of bodies, to the system at once. To
/// be called before there are threads.
void ReturnLargeBlocks();

/// Makes std::terminate() write the reason to standard output and standard error, as one JSON
/// object on a line, before it aborts the process. Covers exceptions that leave a thread's function
/// or a noexcept function.
void LogTerminations();

} // namespace jaylane::gateway
