#include "jaylane/testing/Program.h"

#include <fmt/format.h>
#include <fstream>
#include <string>
#include <unistd.h>

/// Stub of jaylane-entry for the tests of the harness: opens the settings file and prints fixed
/// addresses and an incarnation.
int main(int aArgc, char** aArgv)
{
  const std::string flag = "--settings=";
  const std::string argument = aArgc == 2 ? aArgv[1] : "";
  if (argument.compare(0, flag.size(), flag) != 0 || !std::ifstream(argument.substr(flag.size()))) {
    return 1;
  }
  jaylane::testing::BlockTerminationSignals();
  Json::Value line;
  line["caller_address"] = "127.0.0.1:1";
  line["peer_address"] = "127.0.0.1:2";
  line["incarnation"] = std::to_string(getpid());
  line["admin_address"] = "127.0.0.1:3";
  // The process id differs between starts, like the random incarnation of the daemon.
  line["incarnation"] = fmt::format("{:032x}", getpid());
  jaylane::testing::PrintLine(line);
  jaylane::testing::WaitForTermination();
  return 0;
}
