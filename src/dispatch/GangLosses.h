#ifndef ANVIL_SRC_DISPATCH_GANGLOSSES_H
#define ANVIL_SRC_DISPATCH_GANGLOSSES_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "anvil/dispatch/Dispatcher.h"

namespace anvil::dispatch::internal {

/// The end of a run of a gang's member.
struct MemberEnd {
  wire::TaskRef m_Task;
  wire::RunEndKind::type m_Kind = wire::RunEndKind::DONE;
  /// Other members have not ended yet.
  bool m_OthersLeft = false;
  /// Its own lost work, if any; the cause is filled in.
  std::optional<LostWork> m_Lost;
};

/// Attributes the lost work of a gang's members to what broke the gang: the
/// reason of the first order to stop a member, or else the way in which the
/// first member ended by itself.
///
/// Without it, the losses of a gang on leaving or crowded workers would be
/// counted under the end of another member, which explains nothing. It keeps an
/// entry only for a gang that has been broken and of which members are left.
class GangLosses {
public:
  /// Records that a member was ordered to stop. The first reason counts.
  void recordStop(const wire::TaskRef &Member, std::string_view Reason);
  /// Records the end of a member and returns the losses whose cause is now
  /// known. The others are kept until a later end of a member of the gang.
  std::vector<LostWork> recordEnd(const MemberEnd &End);
  /// Discards what is known about the gang of the member, which is placed anew
  /// or whose job is gone.
  void forget(const wire::TaskRef &Member) { m_Gangs.erase(gangOf(Member)); }
  void clear() { m_Gangs.clear(); }

private:
  /// Job, occurrence and step.
  using GangKey = std::tuple<std::string, int32_t, int32_t>;
  struct BrokenGang {
    std::string m_Cause; ///< Empty while it is not known.
    bool m_MemberEnded = false;
    std::vector<LostWork> m_Unexplained;
  };

  static GangKey gangOf(const wire::TaskRef &Ref) {
    return {Ref.jobId, Ref.occurrence, Ref.step};
  }

  std::map<GangKey, BrokenGang> m_Gangs;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_GANGLOSSES_H
