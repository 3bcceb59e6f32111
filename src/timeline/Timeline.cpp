#include "anvil/timeline/Timeline.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"

namespace anvil::timeline {

namespace {

bool fieldMatches(const std::string &Wanted, const std::string &Actual) {
  return Wanted.empty() || Wanted == Actual;
}

} // namespace

Recorder::Recorder(std::string_view Process, size_t Capacity,
                   std::function<int64_t()> WallClockMicros)
    : m_Process(Process), m_Capacity(Capacity),
      m_WallClockMicros(std::move(WallClockMicros)) {}

void Recorder::record(std::string_view Kind, Subject EventSubject,
                      std::string_view Text, int64_t LogIndex) {
  Event Next;
  Next.m_At = m_Clock.now(m_WallClockMicros());
  Next.m_Process = m_Process;
  Next.m_Sequence = m_NextSequence++;
  Next.m_LogIndex = LogIndex;
  Next.m_Kind = std::string(Kind);
  Next.m_Subject = std::move(EventSubject);
  Next.m_Text = std::string(Text);
  m_Events.push_back(std::move(Next));
  if (m_Events.size() <= m_Capacity)
    return;
  m_Events.pop_front();
  ++m_Dropped;
}

bool matches(const Event &Candidate, const Filter &Wanted) {
  const Subject &ActualSubject = Candidate.m_Subject;
  const Subject &WantedSubject = Wanted.m_Subject;
  return Candidate.m_At.m_WallUs >= Wanted.m_FromUs &&
         Candidate.m_At.m_WallUs <= Wanted.m_ToUs &&
         fieldMatches(WantedSubject.m_Job, ActualSubject.m_Job) &&
         fieldMatches(WantedSubject.m_Request, ActualSubject.m_Request) &&
         fieldMatches(WantedSubject.m_Vm, ActualSubject.m_Vm) &&
         fieldMatches(WantedSubject.m_Workspace, ActualSubject.m_Workspace) &&
         fieldMatches(WantedSubject.m_AvailabilityZone,
                      ActualSubject.m_AvailabilityZone);
}

std::vector<Event> Recorder::select(const Filter &Wanted) const {
  std::vector<Event> Result;
  for (auto It = m_Events.rbegin();
       It != m_Events.rend() && Result.size() < Wanted.m_Limit; ++It)
    if (matches(*It, Wanted))
      Result.push_back(*It);
  std::reverse(Result.begin(), Result.end());
  return Result;
}

std::vector<Event> merge(std::span<const std::vector<Event>> Sources,
                         size_t Limit) {
  std::vector<Event> All;
  for (const std::vector<Event> &Source : Sources)
    All.insert(All.end(), Source.begin(), Source.end());
  std::sort(All.begin(), All.end(), [](const Event &A, const Event &B) {
    return std::tie(A.m_At, A.m_Process, A.m_Sequence) <
           std::tie(B.m_At, B.m_Process, B.m_Sequence);
  });
  std::vector<Event> Result;
  std::set<std::pair<int64_t, std::string>> Seen;
  for (Event &Each : All) {
    // Several entries may deliver the same event of a process.
    if (!Result.empty() && Result.back().m_Process == Each.m_Process &&
        Result.back().m_Sequence == Each.m_Sequence &&
        Result.back().m_At == Each.m_At && Each.m_Sequence != 0)
      continue;
    const bool Replicated = Each.m_LogIndex != 0;
    if (Replicated &&
        !Seen.insert({Each.m_LogIndex,
                      absl::StrCat(Each.m_Kind, " ", Each.m_Subject.m_Job, " ",
                                   Each.m_Subject.m_Vm, " ", Each.m_Text)})
             .second)
      continue;
    Result.push_back(std::move(Each));
  }
  if (Result.size() > Limit)
    Result.erase(Result.begin(), Result.end() - static_cast<ptrdiff_t>(Limit));
  return Result;
}

} // namespace anvil::timeline
