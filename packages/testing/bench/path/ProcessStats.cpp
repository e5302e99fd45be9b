#include "ProcessStats.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace jaylane::testing {

std::chrono::duration<double> CpuTime(pid_t aId)
{
  std::ifstream file(fmt::format("/proc/{}/stat", aId));
  std::string text;
  std::getline(file, text);
  // The program's name may contain spaces; it ends at the last closing parenthesis. User and system
  // time are the 12th and 13th fields after it.
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return std::chrono::duration<double>{ (user + system) /
                                        static_cast<double>(sysconf(_SC_CLK_TCK)) };
}

std::uint64_t PeakResidentKib(pid_t aId)
{
  std::ifstream file(fmt::format("/proc/{}/status", aId));
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoull(line.substr(6));
    }
  }
  return 0;
}

} // namespace jaylane::testing
