#pragma once

#include "ConfigState.h"
#include "jaylane/base/HttpServer.h"
#include "jaylane/platform/Store.h"
#include "jaylane/settings/AdminApi.h"
#include "jaylane/settings/EditMerger.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace jaylane::entry {

/// Serves the administration API (docs/admin-api.md): reports this VM's state and edits the
/// settings in the store.
class AdminServer
{
public:
  /// Provide the parts of the state that other components own.
  struct Hooks
  {
    std::function<Json::Value()> m_status;
    std::function<Json::Value()> m_metrics;
    /// Simulates the shifts of each service under an edited document.
    std::function<Json::Value(const settings::SettingsDocument&)> m_forecast;
  };

  /// Binds the address and starts serving.
  /// @param aStore used for edits; other reads are served from this VM's copy of the settings.
  /// @param aConfig receives accepted edits.
  /// @return the server, or why the address could not be bound.
  static base::Result<std::unique_ptr<AdminServer>> Make(const VmContext& aContext,
                                                         platform::Store& aStore,
                                                         ConfigState& aConfig,
                                                         Hooks aHooks);

  const base::SocketAddress& Address() const { return m_server->Address(); }

private:
  AdminServer(const VmContext& aContext,
              platform::Store& aStore,
              ConfigState& aConfig,
              Hooks aHooks);

  base::HttpResponse Handle(const base::HttpRequest& aRequest);
  settings::AdminResponse Route(const base::HttpRequest& aRequest, const std::string& aPrincipal);
  settings::AdminResponse Read(const base::HttpRequest& aRequest);
  settings::AdminResponse ReadSettings(const base::HttpRequest& aRequest) const;
  settings::AdminResponse Timeline(const base::HttpRequest& aRequest) const;
  settings::AdminResponse Write(const base::HttpRequest& aRequest, const std::string& aPrincipal);
  settings::AdminResponse Plan(const settings::Edit& aEdit) const;
  void ApplyAccepted(const settings::MergeResult& aMerged,
                     const std::string& aText,
                     const std::string& aId);
  settings::AdminResponse ApplyEdit(const settings::Edit& aEdit, const std::string& aPrincipal);
  settings::AdminResponse EditStatus(const base::HttpRequest& aRequest);
  /// @return the settings document in the store and its version.
  base::Result<std::pair<settings::SettingsDocument, platform::Version>> ReadDocument();

  const VmContext& m_context;
  platform::Store& m_store;
  ConfigState& m_config;
  const Hooks m_hooks;
  std::atomic<std::uint64_t> m_nextNonce{ 1 };
  std::unique_ptr<base::HttpServer> m_server;
};

} // namespace jaylane::entry
