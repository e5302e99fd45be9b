// A small deployment: the store, servers and machines in three zones of three regions.
#pragma once

#include "stand_in.h"

namespace standin {

struct Deployment
{
  Deployment(const std::string& aRecord, std::string aHost, Bounds aBounds = {})
    : m_record(aRecord)
    , m_host(std::move(aHost))
    , m_bounds(aBounds)
    , m_store(Ip(1), m_record)
  {
  }

  void Configure(std::uint64_t aVersion,
                 const std::vector<Json::Value>& aRules,
                 const std::vector<std::string>& aServices)
  {
    m_store.Put("config", "main", Configuration(aVersion, aRules, aServices, m_host));
    m_record.Line("store     config/main version %llu acknowledged",
                  static_cast<unsigned long long>(aVersion));
  }
  Server& AddServer(const std::string& aService, int aZone, Run aRun = {})
  {
    const int number = static_cast<int>(m_servers.size());
    m_servers.push_back(std::make_unique<Server>(m_store,
                                                 m_record,
                                                 Ip(100 + number),
                                                 "s" + std::to_string(number),
                                                 aService,
                                                 "z" + std::to_string(aZone),
                                                 std::move(aRun)));
    return *m_servers.back();
  }
  /// Starts machines, one a zone.
  /// @return whether all of them are ready within 15 s.
  bool Start(int aMachines)
  {
    const std::map<std::string, std::string> zones{ { "z0", "r0" },
                                                    { "z1", "r1" },
                                                    { "z2", "r2" } };
    std::vector<std::string> seeds;
    for (int i = 0; i < aMachines; ++i) {
      const std::string zone = "z" + std::to_string(i % 3);
      m_gateways.push_back(std::make_unique<Gateway>("front-" + zone + "-" + std::to_string(i),
                                                     Ip(10 + i),
                                                     zone,
                                                     zones.at(zone),
                                                     m_directory.Path(),
                                                     m_bounds));
      seeds.push_back(m_gateways.back()->Control());
    }
    for (const auto& gateway : m_gateways) {
      gateway->WriteSettings(m_store.Address(), zones, seeds);
      gateway->Start();
    }
    for (const auto& gateway : m_gateways) {
      if (!gateway->WaitUntilReady(15'000)) {
        std::fprintf(stderr, "%s isn't ready\n", gateway->Name().c_str());
        return false;
      }
    }
    m_record.Line("machines are ready");
    return true;
  }
  /// @return runs at all servers by request.
  std::map<std::string, std::vector<RunSeen>> Runs()
  {
    std::map<std::string, std::vector<RunSeen>> runs;
    for (const auto& server : m_servers) {
      for (const RunSeen& run : server->Runs()) {
        runs[run.m_request].push_back(run);
      }
    }
    return runs;
  }
  bool HasEnded()
  {
    bool hasEnded = false;
    for (const auto& gateway : m_gateways) {
      hasEnded = gateway->Ended().has_value() || hasEnded;
    }
    return hasEnded;
  }

  TemporaryDirectory m_directory;
  Record m_record;
  const std::string m_host;
  const Bounds m_bounds;
  Store m_store;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
};

/// A request with a length, as a client sends it.
inline std::string RequestText(const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aHost,
                               const std::string& aId,
                               int aTimeoutMs,
                               const std::string& aBody = {})
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost + "\r\nRequest-Id: " + aId +
         "\r\nTimeout-Ms: " + std::to_string(aTimeoutMs) + "\r\n" +
         (aMethod == "POST" ? "Content-Length: " + std::to_string(aBody.size()) + "\r\n" : "") +
         "\r\n" + aBody;
}

} // namespace standin
