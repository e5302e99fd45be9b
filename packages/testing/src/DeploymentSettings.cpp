#include "DeploymentSettings.h"

#include "jaylane/testing/TestingError.h"

#include <fmt/format.h>
#include <fstream>

namespace jaylane::testing {

base::Status WriteEntrySettings(const std::string& aPath, const EntrySettings& aSettings)
{
  constexpr const char* kFormat = R"(id: "{}"
region: "{}"
zone: "{}"
caller_address: "127.0.0.1:0"
peer_address: "127.0.0.1:0"
admin_address: "127.0.0.1:0"
store_urls: ["{}"]
peer_key: "{}"
admin_tokens:
  - {{ name: reader, token: "{}", role: read }}
  - {{ name: writer, token: "{}", role: write }}
trust_caller_header: true
)";
  std::ofstream file(aPath);
  file << fmt::format(kFormat,
                      aSettings.m_id,
                      aSettings.m_region,
                      aSettings.m_zone,
                      aSettings.m_platformUrl,
                      aSettings.m_peerKey,
                      aSettings.m_readToken,
                      aSettings.m_writeToken);
  if (!file.flush()) {
    return MakeError(TestingErrc::FileFailed, aPath);
  }
  return base::Success{};
}

} // namespace jaylane::testing
