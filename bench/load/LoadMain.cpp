// Sends HTTP requests to one address with a fixed number in progress and prints
// rate and latency as JSON.

#include <algorithm>
#include <iostream>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "anvil/daemon/Process.h"
#include "anvil/daemon/Settings.h"
#include "anvil/net/HttpClient.h"

namespace {

using namespace anvil;

/// What one run is asked for and what it measured.
struct LoadRun {
  net::Endpoint m_Target;
  std::string m_Path;
  int64_t m_Requests = 0;
  int64_t m_InProgress = 0;
  int64_t m_Sent = 0;
  int64_t m_Failed = 0;
  std::vector<int64_t> m_LatenciesUs;
};

class Load {
public:
  Load(boost::asio::io_context &Io, LoadRun &Run) : m_Io(Io), m_Run(Run) {
    net::HttpClientOptions Options;
    Options.m_MaxConnections = static_cast<size_t>(Run.m_InProgress) + 1;
    m_Client = net::HttpClient::create(Io, Run.m_Target, Options);
  }

  void start() {
    for (int64_t I = 0; I < m_Run.m_InProgress; ++I)
      sendNext();
  }

private:
  void sendNext() {
    if (m_Run.m_Sent >= m_Run.m_Requests)
      return;
    ++m_Run.m_Sent;
    net::HttpClientRequest Request;
    Request.m_Method = "POST";
    Request.m_Target = m_Run.m_Path;
    Request.m_Fields = {{"Anvil-Workspace", "pricing"},
                        {"Anvil-Class", "quote"},
                        {"Content-Type", "text/plain"}};
    Request.m_Body = "grit=2mm";
    const TimePoint Begin = daemon::monotonicNow();
    m_Client->send(Request, std::chrono::seconds(10),
                   [this, Begin](const net::HttpExchangeResult &Result) {
                     if (Result.m_Status.ok() && Result.m_HttpStatus == 200)
                       m_Run.m_LatenciesUs.push_back(
                           (daemon::monotonicNow() - Begin).count());
                     else
                       ++m_Run.m_Failed;
                     if (static_cast<int64_t>(m_Run.m_LatenciesUs.size()) +
                             m_Run.m_Failed ==
                         m_Run.m_Requests)
                       m_Io.stop();
                     sendNext();
                   });
  }

  boost::asio::io_context &m_Io;
  LoadRun &m_Run;
  std::unique_ptr<net::HttpClient> m_Client;
};

int64_t quantile(const std::vector<int64_t> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  return Sorted[std::min(
      Sorted.size() - 1,
      static_cast<size_t>(Share * static_cast<double>(Sorted.size())))];
}

} // namespace

int main(int Argc, char **Argv) {
  LoadRun Run;
  daemon::Settings Reader(
      "anvil_load", "Sends HTTP requests with a fixed number in progress.");
  Reader.addEndpoint("target", "", "Address of an entry or a minion.",
                     Run.m_Target);
  Reader.addText("path", "/", "Path of the requests.", Run.m_Path);
  Reader.addInteger("requests", 10000, 1, 10'000'000, "Requests to send.",
                    Run.m_Requests);
  Reader.addInteger("in-progress", 8, 1, 1024,
                    "Requests in progress at one time.", Run.m_InProgress);
  const auto Mode =
      Reader.read({Argv + 1, Argv + Argc}, daemon::environmentVariable);
  if (const std::optional<int> Code =
          daemon::finishStart(Reader, Mode, "anvil_load"))
    return *Code;
  boost::asio::io_context Io;
  Load Generator(Io, Run);
  const TimePoint Begin = daemon::monotonicNow();
  Generator.start();
  Io.run();
  const double Seconds =
      static_cast<double>((daemon::monotonicNow() - Begin).count()) / 1e6;
  std::sort(Run.m_LatenciesUs.begin(), Run.m_LatenciesUs.end());
  std::cout << "{\"completed\":" << Run.m_LatenciesUs.size()
            << ",\"failed\":" << Run.m_Failed << ",\"per_second\":"
            << static_cast<double>(Run.m_LatenciesUs.size()) / Seconds
            << ",\"p50_us\":" << quantile(Run.m_LatenciesUs, 0.5)
            << ",\"p99_us\":" << quantile(Run.m_LatenciesUs, 0.99) << "}\n";
  return 0;
}
