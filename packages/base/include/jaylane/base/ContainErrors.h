#pragma once

#include <exception>
#include <string_view>

namespace jaylane::base {

class AsyncLog;

namespace detail {

/// Logs an exception that ended a task.
void LogUnexpectedError(AsyncLog& aLog, std::string_view aTask, const char* aReason);

} // namespace detail

/// Runs a task and logs the exception that it throws, if any. An unexpected error, for example from
/// a message that no check has foreseen, then ends the work at hand and not the process.
/// @param aTaskName name of the task in the log.
/// @return whether the task completed.
template<typename Task>
bool ContainErrors(AsyncLog& aLog, std::string_view aTaskName, Task&& aTask)
{
  try {
    aTask();
    return true;
  } catch (const std::exception& error) {
    detail::LogUnexpectedError(aLog, aTaskName, error.what());
    return false;
  }
}

} // namespace jaylane::base
