#include "jaylane/settings/VmSettings.h"

#include "VmKeys.h"

#include <charconv>
#include <fmt/format.h>
#include <set>

namespace jaylane::settings {

namespace {

/// Reports listeners that share an address and secrets that are used twice.
void CheckContradictions(const VmSettings& aSettings, Reporter& aReporter)
{
  struct Listener
  {
    const char* m_key;
    const HostPort& m_address;
  };
  const Listener listeners[] = { { "caller_address", aSettings.m_callerAddress },
                                 { "peer_address", aSettings.m_peerAddress },
                                 { "admin_address", aSettings.m_adminAddress } };
  std::set<std::string> seen;
  for (const auto& [key, address] : listeners) {
    if (address.m_port != 0 && !seen.insert(address.ToString()).second) {
      aReporter.Error({ key }, "expected an address that no other listener uses");
    }
  }
  std::set<std::string> names;
  std::set<std::string> tokens;
  for (std::size_t i = 0; i < aSettings.m_adminTokens.size(); ++i) {
    const AdminToken& token = aSettings.m_adminTokens[i];
    const JsonPath path{ "admin_tokens", std::to_string(i) };
    if (!names.insert(token.m_name).second) {
      aReporter.Error(ChildPath(path, "name"), "expected a name that no other token has");
    }
    if (!tokens.insert(token.m_token).second) {
      aReporter.Error(ChildPath(path, "token"), "expected a token that is not listed twice");
    }
    if (token.m_token == aSettings.m_peerKey) {
      aReporter.Error(ChildPath(path, "token"), "expected a token that differs from peer_key");
    }
  }
}

Parsed<VmSettings> ReadSettings(const LocatedJson& aDocument, std::string aFile)
{
  Reporter reporter(std::move(aFile),
                    [&](const JsonPath& aPath) { return aDocument.LineOf(aPath); });
  reporter.Append(aDocument.m_diagnostics);
  VmSettings settings;
  if (!reporter.Failed() || !aDocument.m_value.isNull()) {
    ReadMapping(aDocument.m_value, {}, VmKeys(), settings, reporter);
    CheckContradictions(settings, reporter);
  }
  if (reporter.Failed()) {
    return { std::nullopt, reporter.All() };
  }
  return { settings, reporter.All() };
}

} // namespace

std::optional<HostPort> HostPort::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  HostPort address;
  const auto [at, error] = std::from_chars(port.data(), port.data() + port.size(), address.m_port);
  if (error != std::errc() || at != port.data() + port.size() || port.empty()) {
    return std::nullopt;
  }
  const bool bracketed = host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const char* allowed = bracketed ? "0123456789abcdefABCDEF:." : "0123456789.";
  if (host.empty() || host.find_first_not_of(allowed) != std::string_view::npos) {
    return std::nullopt;
  }
  address.m_host = host;
  return address;
}

std::string HostPort::ToString() const
{
  const bool brackets = m_host.find(':') != std::string::npos;
  return brackets ? fmt::format("[{}]:{}", m_host, m_port) : fmt::format("{}:{}", m_host, m_port);
}

Parsed<VmSettings> VmSettings::ParseYaml(std::string_view aText, std::string aFile)
{
  const LocatedJson document = ReadYaml(aText, aFile);
  return ReadSettings(document, std::move(aFile));
}

Parsed<VmSettings> VmSettings::LoadYaml(const std::string& aPath)
{
  return ReadSettings(ReadYamlFile(aPath), aPath);
}

} // namespace jaylane::settings
