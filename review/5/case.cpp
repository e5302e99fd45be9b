// A request that crashes each server which runs it, and comes again every ten seconds. All
// processes of the system are killed at the same moment, twice. See claim.txt.

#include "../common/standins.h"

using namespace review;

namespace {

constexpr int kGateways = 3;
constexpr int kServers = 8;
/// Time for which a crashed server is away.
constexpr double kAwayS = 3;
constexpr int kCopyIntervalMs = 10'000;
constexpr double kStableWindowS = 4;
constexpr double kEndS = 88;
/// When all gateways are killed, and how long they are down.
constexpr double kKillTimes[] = { 27, 57 };
constexpr int kDownMs = 1'500;
constexpr int kAllowed = 3;

/// A server: a listener that can go away and come back at its address.
struct Server
{
  std::string m_id;
  std::atomic<double> m_backAt{ 0 };
  std::mutex m_mutex;
  std::set<Connection*> m_connections;
  std::unique_ptr<Listener> m_listener;

  bool IsAway() const { return Now() < m_backAt; }

  void AwaitReturn() const
  {
    while (IsAway()) {
      SleepMs(20);
    }
  }

  /// Ends with all its connections.
  /// @param aIsSilent whether nobody is told: its connections close only when it is back.
  void Crash(bool aIsSilent)
  {
    m_backAt = Now() + kAwayS;
    if (aIsSilent) {
      return;
    }
    std::lock_guard lock(m_mutex);
    for (Connection* connection : m_connections) {
      ::shutdown(connection->m_socket, SHUT_RDWR);
    }
  }
};

} // namespace

int main(int, char** aArguments)
{
  signal(SIGPIPE, SIG_IGN);
  Record record(std::string(aArguments[1]) + "/record.txt");
  const std::string directory = TemporaryDirectory();
  const bool hasTrouble = HasTrouble();
  const bool isSilent = getenv("SILENT") && std::string(getenv("SILENT")) == "1";
  record.Write("trouble %d%s", hasTrouble, isSilent ? ", servers crash silently" : "");

  Store store(OwnIp());
  std::mutex mutex;
  int crashes = 0;
  int late = 0;
  double thirdCrash = 0;
  double inTouchFrom = 0; // The gateways have run undisturbed for the window from then on.
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>());
    Server& server = *servers.back();
    server.m_id = "i-" + std::to_string(i);
    server.m_listener = std::make_unique<Listener>(OwnIp(), [&](Connection& aConnection) {
      if (server.IsAway()) {
        if (isSilent) {
          server.AwaitReturn();
        }
        aConnection.Reset();
        return;
      }
      {
        std::lock_guard lock(server.m_mutex);
        server.m_connections.insert(&aConnection);
      }
      Message request;
      while (ReadMessage(aConnection, request, 30'000) && !server.IsAway()) {
        if (request.Target() == "/health") {
          aConnection.Send("HTTP/1.1 200 OK\r\nInstance-Id: " + server.m_id +
                           "\r\nContent-Length: 0\r\n\r\n");
          request = {};
          continue;
        }
        const std::string id = request.Header("request-id");
        if (request.Header("target-instance") != server.m_id) {
          aConnection.Send("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id +
                           "\r\nContent-Length: 0\r\n\r\n");
        } else if (request.Target() == "/fetch/poison") {
          {
            std::lock_guard lock(mutex);
            const double now = Now();
            // Later than the window after the third crash, by machines in touch.
            const bool isLate =
              thirdCrash > 0 && now > thirdCrash + kStableWindowS && now > inTouchFrom;
            late += isLate ? 1 : 0;
            ++crashes;
            if (crashes == 3) {
              thirdCrash = now;
            }
            record.Write("server: %s runs %s and crashes, crash %d%s",
                         server.m_id.c_str(),
                         id.c_str(),
                         crashes,
                         isLate ? ", counted" : "");
          }
          SleepMs(20);
          server.Crash(isSilent);
          if (isSilent) {
            server.AwaitReturn();
          }
          break;
        } else {
          SleepMs(20);
          if (server.IsAway()) {
            if (isSilent) {
              server.AwaitReturn();
            }
            break;
          }
          aConnection.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                           "\r\nResponse-Signature: 3e1b.07.5a2.2.0.c9f2a4d1\r\n"
                           "Server-Load: 0,0,4\r\nContent-Length: 2\r\n\r\nok");
        }
        request = {};
      }
      std::lock_guard lock(server.m_mutex);
      server.m_connections.erase(&aConnection);
    });
    store.Put("servers", server.m_id, ServerEntry("archivo", server.m_listener->Address()));
  }
  store.Put(
    "config",
    "main",
    Configuration(7, Rule("r-fetch", "idempotent", "/fetch/", "archivo", 800), Cluster("archivo")));
  const std::string base = OwnIp().substr(0, OwnIp().rfind('.') + 1);
  const int peerPort = FreePort(OwnIp());
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(i + 1),
                                                 directory,
                                                 store.Address(),
                                                 base + std::to_string(100 + i),
                                                 6,
                                                 peerPort));
  }
  const auto finish = [&](int aStatus) {
    for (auto& gateway : gateways) {
      gateway->Kill();
    }
    Finish(aStatus);
  };
  for (auto& gateway : gateways) {
    if (!gateway->AwaitReady(20)) {
      record.Write("a gateway is not ready");
      finish(2);
    }
  }
  SleepMs(static_cast<int>(kStableWindowS * 1000));

  const auto send = [&](const std::string& aTarget, const std::string& aId, int aGateway) {
    auto connection = gateways[static_cast<std::size_t>(aGateway % kGateways)]->Open();
    Message answer;
    if (connection) {
      connection->Send("GET " + aTarget + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + aId +
                       "\r\nTimeout-Ms: 800\r\n\r\n");
      ReadMessage(*connection, answer, 2000);
    }
    return answer.Status();
  };
  std::atomic<bool> isStopping{ false };
  std::atomic<int> ordinary{ 0 };
  std::atomic<int> served{ 0 };
  std::thread others([&] {
    for (int i = 0; !isStopping; ++i) {
      served += send("/fetch/" + std::to_string(i % 50), "0d" + std::to_string(i), i) == 200;
      ++ordinary;
      SleepMs(50);
    }
  });
  std::thread culprit([&] {
    for (int i = 0; !isStopping; ++i) {
      const std::string id = "bad" + std::to_string(i);
      const int status = send("/fetch/poison", id, i);
      record.Write("client: %s at gateway %d got %d", id.c_str(), i % kGateways + 1, status);
      for (int waited = 0; waited < kCopyIntervalMs && !isStopping; waited += 50) {
        SleepMs(50);
      }
    }
  });
  for (const double at : kKillTimes) {
    SleepMs(static_cast<int>((at - Now()) * 1000));
    if (hasTrouble) {
      record.Write("all gateways are killed");
      {
        std::lock_guard lock(mutex);
        inTouchFrom = 1e9;
      }
      for (auto& gateway : gateways) {
        gateway->Kill();
      }
      SleepMs(kDownMs);
      for (auto& gateway : gateways) {
        gateway->Start();
      }
      record.Write("all gateways start again");
      std::lock_guard lock(mutex);
      inTouchFrom = Now() + kStableWindowS;
    }
  }
  SleepMs(static_cast<int>((kEndS - Now()) * 1000));
  isStopping = true;
  others.join();
  culprit.join();
  record.Write("%d crashes, %d copies counted (allowed %d); %d of %d other requests served",
               crashes,
               late,
               kAllowed,
               served.load(),
               ordinary.load());
  if (served < ordinary / 2) {
    finish(2);
  }
  finish(late > kAllowed ? 1 : 0);
}
