#pragma once

namespace jaylane::gateway {

/// Makes std::terminate() write the reason to standard output and standard error, as one JSON
/// object on a line, before it aborts the process. Covers exceptions that leave a thread's function
/// or a noexcept function.
void LogTerminations();

} // namespace jaylane::gateway
