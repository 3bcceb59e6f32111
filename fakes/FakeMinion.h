#ifndef ANVIL_FAKES_FAKEMINION_H
#define ANVIL_FAKES_FAKEMINION_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fakes/FakeHttpServer.h"

namespace anvil::fakes {

/// How service times are drawn around their mean.
enum class ServiceTime { Fixed, Exponential };

/// Behaviour of a simulated minion. Rates are shares of requests in [0, 1].
struct FakeMinionOptions {
  net::Endpoint m_Listen{"127.0.0.1", 0};
  std::string m_Name = "minion";
  int64_t m_Slots = 8;
  Duration m_ServiceMean = std::chrono::milliseconds(20);
  ServiceTime m_Distribution = ServiceTime::Fixed;
  int64_t m_ResponseBytes = 0; ///< Padding added to each response.
  double m_FailRate = 0;       ///< Answers 500.
  double m_HangRate =
      0; ///< Never answers; the slot is free once the caller closes.
  double m_TruncateRate = 0; ///< Closes in the middle of the response.
  double m_CloseRate = 0; ///< Runs the request and closes without a response.
  double m_LateRate = 0;  ///< Takes m_LateTime longer.
  Duration m_LateTime = std::chrono::seconds(2);
  std::function<double()> m_Random; ///< Numbers in [0, 1). Required.
};

/// What a simulated minion saw since its start.
struct FakeMinionCounts {
  int64_t m_Started = 0;
  int64_t m_Finished = 0;
  int64_t m_Overfill = 0; ///< Requests refused because all slots were busy.
  int64_t m_Busy = 0;
  int64_t m_MostBusy = 0;
  std::map<std::string, int64_t> m_Requests; ///< Runs by X-Request-Id.
  std::map<std::string, int64_t> m_Keys;     ///< Runs by Idempotency-Key.
};

/// Simulates a back end with a fixed number of slots that can't tell a repeated
/// request from a new one.
///
/// Any method and path runs a request. `GET /counts` shows the counts as JSON
/// with every id that ran more than once; `GET /counts?full` lists all ids.
/// `POST /faults` changes rates and times by the names of the flags.
class FakeMinion {
public:
  static absl::StatusOr<std::unique_ptr<FakeMinion>>
  create(boost::asio::io_context &Io, FakeMinionOptions Options);
  ~FakeMinion();
  net::Endpoint endpoint() const;
  const FakeMinionCounts &counts() const;
  /// Returns the behaviour, which may be changed at any time.
  FakeMinionOptions &behaviour();
  FakeHttpServer &server();

private:
  struct Impl;
  explicit FakeMinion(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::fakes

#endif // ANVIL_FAKES_FAKEMINION_H
