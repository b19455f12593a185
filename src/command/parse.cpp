#include <boost/spirit/home/x3.hpp>

#include <cmath>

#include "command/command.h"

// X3 names what was expected by get_info; it has none for these two.
namespace boost::spirit::x3 {

template<class Subject, class Action>
struct get_info<action<Subject, Action>>
{
  using result_type = std::string;
  std::string operator()(const action<Subject, Action>& aParser) const
  {
    return what(aParser.subject);
  }
};

template<class Left, class Right>
struct get_info<sequence<Left, Right>>
{
  using result_type = std::string;
  std::string operator()(const sequence<Left, Right>& aParser) const { return what(aParser.left); }
};

}  // namespace boost::spirit::x3

namespace monsoon {

namespace x3 = boost::spirit::x3;

namespace {

// Values. The name of each rule is what an error says was expected.

template<class Attribute, class Tag>
auto Name(const char* aName, const Tag& aParser)
{
  return x3::rule<struct NameTag, Attribute>(aName) %= aParser;
}

auto Word(const char* aText)
{
  return x3::rule<struct WordTag>(aText) =
           x3::lexeme[x3::no_case[x3::lit(aText)] >> !(x3::alnum | '_')];
}

const auto kQuoted =
  Name<std::string>("text in quotes",
                    x3::lexeme['"' >> *(('\\' >> x3::char_) | (x3::char_ - '"' - '\\')) >> '"']);
const auto kIdentifier =
  Name<std::string>("a name", x3::lexeme[x3::char_("a-zA-Z_") >> *x3::char_("a-zA-Z0-9_.-")]);
const auto kCount = Name<std::uint32_t>("a whole number from 1", x3::uint32 - x3::lit("0"));
const auto kWhole = Name<std::uint64_t>("a whole number", x3::uint64);
const auto kLimit = Name<std::uint32_t>("a whole number", x3::uint32);

constexpr double kMaxCores = 1e6;
constexpr std::int64_t kMaxUnits = 1'000'000'000;

struct SymbolTables
{
  x3::symbols<JobKind> mKinds{};
  x3::symbols<Priority> mPriorities{};
  x3::symbols<std::int64_t> mTimes{};  // ns
  x3::symbols<std::int64_t> mSizes{};  // MiB
  x3::symbols<ShowTarget> mTargets{};
  x3::symbols<Comparison> mComparisons{};

  SymbolTables()
  {
    for (const JobKind it : { JobKind::Service, JobKind::Batch, JobKind::Gang, JobKind::Watch })
      mKinds.add(GetName(it), it);
    for (const Priority it : { Priority::Urgent, Priority::Normal, Priority::Low })
      mPriorities.add(GetName(it), it);
    mTimes.add("ms", 1'000'000)("s", 1'000'000'000)("m", 60'000'000'000)("h", 3'600'000'000'000);
    mSizes.add("MiB", 1)("GiB", 1024)("TiB", 1024 * 1024);
    for (int i = 0; i <= static_cast<int>(ShowTarget::Config); ++i)
      mTargets.add(GetName(static_cast<ShowTarget>(i)), static_cast<ShowTarget>(i));
    mComparisons.add("=", Comparison::Equal)("!=", Comparison::NotEqual)("<", Comparison::Less)(
      "<=", Comparison::LessOrEqual)(">", Comparison::Greater)(">=", Comparison::GreaterOrEqual);
  }
};

const SymbolTables& GetSymbols()
{
  static const SymbolTables kTables;
  return kTables;
}

// A number times its unit; out of range is a failed match.
constexpr auto kMultiply = [](auto& aContext) {
  const auto& parts = x3::_attr(aContext);
  const std::uint64_t n = boost::fusion::at_c<0>(parts);
  std::int64_t value = 0;
  x3::_pass(aContext) =
    n <= kMaxUnits &&
    !__builtin_mul_overflow(static_cast<std::int64_t>(n), boost::fusion::at_c<1>(parts), &value);
  x3::_val(aContext) = value;
};

constexpr auto kToMilliCores = [](auto& aContext) {
  const double cores = x3::_attr(aContext);
  const bool good = std::isfinite(cores) && cores >= 0 && cores <= kMaxCores;
  x3::_pass(aContext) = good;
  x3::_val(aContext) = good ? std::llround(cores * 1000) : 0;
};

auto MakeTime()
{
  return x3::rule<struct TimeTag, std::int64_t>("a time such as 500ms, 10s, 5m or 2h") =
           x3::lexeme[x3::uint64 >> GetSymbols().mTimes >> !x3::alnum][kMultiply];
}

auto MakeSize()
{
  return x3::rule<struct SizeTag, std::int64_t>("a size such as 512MiB or 4GiB") =
           x3::lexeme[x3::uint64 >> GetSymbols().mSizes >> !x3::alnum][kMultiply];
}

auto MakeCores()
{
  return x3::rule<struct CoresTag, std::int64_t>("a number of cores such as 2 or 0.5") =
           x3::real_parser<double, x3::ureal_policies<double>>()[kToMilliCores];
}

template<class T>
auto Set(T& aTarget)
{
  return [&aTarget](auto& aContext) { aTarget = x3::_attr(aContext); };
}

template<class T>
auto SetTo(T& aTarget, T aValue)
{
  return [&aTarget, aValue](auto&) { aTarget = aValue; };
}

auto SetTime(Duration& aTarget)
{
  return [&aTarget](auto& aContext) { aTarget = Duration(x3::_attr(aContext)); };
}

// Clauses

auto MakeResourceClause(Resources& aOut, std::string& aType)
{
  return (Word("cores") > MakeCores()[Set(aOut.mMilliCores)]) |
         (Word("memory") > MakeSize()[Set(aOut.mMemoryMiB)]) |
         (Word("accelerators") > kLimit[Set(aOut.mAccelerators)] >
          -(Word("of") > kQuoted[Set(aType)])) |
         (Word("slots") > kLimit[Set(aOut.mSlots)]) |
         (Word("connections") > kLimit[Set(aOut.mConnections)]);
}

auto MakePriority()
{
  return Name<Priority>("urgent, normal or low", x3::lexeme[GetSymbols().mPriorities]);
}

auto MakeJobClause(JobSpec& aOut)
{
  const auto spread =
    Name<x3::unused_type>("zones or racks", &(Word("zones") | Word("racks"))) >
    (Word("zones")[SetTo(aOut.mSpreadZones, true)] | Word("racks")[SetTo(aOut.mSpreadRacks, true)]);
  return ((Word("tasks") | Word("replicas")) > kCount[Set(aOut.mTasks)]) |
         (Word("team") > kQuoted[Set(aOut.mTeam)]) |
         (Word("priority") > MakePriority()[Set(aOut.mPriority)]) |
         (Word("run") > MakeTime()[SetTime(aOut.mExpectedRun)]) |
         (Word("attempts") > kCount[Set(aOut.mMaxAttempts)]) | (Word("spread") > spread) |
         Word("once")[SetTo(aOut.mRepeatable, false)] |
         (Word("payload") > kQuoted[Set(aOut.mPayload)]) |
         MakeResourceClause(aOut.mShape, aOut.mAcceleratorType);
}

auto MakeChangeClause(JobChange& aOut)
{
  return ((Word("tasks") | Word("replicas")) > kCount[Set(aOut.mTasks)]) |
         (Word("priority") > MakePriority()[Set(aOut.mPriority)]) |
         (Word("attempts") > kCount[Set(aOut.mMaxAttempts)]) |
         (Word("run") > MakeTime()[([&aOut](auto& aContext) {
            aOut.mExpectedRun = Duration(x3::_attr(aContext));
          })]);
}

auto MakeCondition(Condition& aNow, std::vector<Condition>& aOut)
{
  const auto number = [&aNow](auto& aContext) { aNow.mValue = x3::_attr(aContext); };
  const auto value = Name<x3::unused_type>("a number, a word or text in quotes",
                                           x3::omit[&(x3::int64 | x3::char_("\"a-zA-Z_"))]) >
                     (x3::int64[number] | kQuoted[number] | kIdentifier[number]);
  return kIdentifier[Set(aNow.mColumn)] >
         Name<Comparison>("=, !=, <, <=, > or >=",
                          GetSymbols().mComparisons)[Set(aNow.mComparison)] > value >
         x3::eps[([&](auto&) { aOut.push_back(aNow); })];
}

// Everything that the grammar fills.
struct Draft
{
  JobSpec mSpec{};
  JobChange mChange{};
  JobId mId{};
  Show mShow{};
  Condition mCondition{};
  OrderBy mOrder{};
  DrainWorker mDrain{};
  TeamQuota mQuota{};
  std::string mUnusedType{};
  SetSetting mSetting{};
  Command mCommand{};
};

template<class T>
auto Finish(Command& aCommand, T& aBody)
{
  return x3::eps[([&](auto&) { aCommand.mBody = aBody; })];
}

// The id of a job of any kind: `batch "x"` or `job "x"`.
auto MakeJobId(JobId& aOut)
{
  const auto kind = Name<x3::unused_type>("service, batch, gang, watch or job",
                                          x3::omit[x3::lexeme[GetSymbols().mKinds] | Word("job")]);
  return kind > kQuoted[Set(aOut)];
}

auto MakeKindAndSpec(JobSpec& aOut)
{
  return Name<JobKind>("service, batch, gang or watch",
                       x3::lexeme[GetSymbols().mKinds])[Set(aOut.mKind)] > kQuoted[Set(aOut.mId)] >
         *MakeJobClause(aOut);
}

auto MakeJobCommands(Draft& aDraft)
{
  Command& command = aDraft.mCommand;
  const auto created = [&](auto&) { command.mBody = CreateJob{ aDraft.mSpec }; };
  const auto declared = [&](auto&) { command.mBody = DeclareJob{ aDraft.mSpec }; };
  const auto changed = [&](auto&) { command.mBody = ChangeJob{ aDraft.mId, aDraft.mChange }; };
  const auto cancelled = [&](auto&) { command.mBody = CancelJob{ aDraft.mId }; };
  const auto withdrawn = [&](auto&) { command.mBody = WithdrawJob{ aDraft.mId }; };
  const auto explained = [&](auto&) { command.mBody = ExplainJob{ aDraft.mId }; };
  return (Word("create") > MakeKindAndSpec(aDraft.mSpec) > x3::eps[created]) |
         (Word("declare") > MakeKindAndSpec(aDraft.mSpec) > x3::eps[declared]) |
         (Word("change") > MakeJobId(aDraft.mId) >
          Name<x3::unused_type>("tasks, replicas, priority, attempts or run",
                                +MakeChangeClause(aDraft.mChange)) > x3::eps[changed]) |
         (Word("cancel") > MakeJobId(aDraft.mId) > x3::eps[cancelled]) |
         (Word("withdraw") > MakeJobId(aDraft.mId) > x3::eps[withdrawn]) |
         (Word("explain") > MakeJobId(aDraft.mId) > x3::eps[explained]);
}

auto MakeShow(Draft& aDraft)
{
  Show& show = aDraft.mShow;
  const auto condition = MakeCondition(aDraft.mCondition, show.mWhere);
  const auto ordered = [&](auto&) { show.mOrder = aDraft.mOrder; };
  const auto direction = -(Word("desc")[SetTo(aDraft.mOrder.mDescending, true)] | Word("asc"));
  return Word("show") > Name<ShowTarget>("workers, jobs, tasks, processes, teams or config",
                                         x3::lexeme[GetSymbols().mTargets])[Set(show.mTarget)] >
         -(Word("where") > condition % Word("and")) >
         -(Word("order") > Word("by") > kIdentifier[Set(aDraft.mOrder.mColumn)] > direction >
           x3::eps[ordered]) > -(Word("limit") > kLimit[Set(show.mLimit)]) >
         Finish(aDraft.mCommand, show);
}

auto MakeCellCommands(Draft& aDraft)
{
  Command& command = aDraft.mCommand;
  TeamQuota& quota = aDraft.mQuota;
  const auto resource = MakeResourceClause(quota.mGuaranteed, aDraft.mUnusedType);
  const auto borrowing = Word("no")[SetTo(quota.mMayBorrow, false)] > Word("borrowing");
  const auto team =
    Word("team") > kQuoted[Set(quota.mTeam)] > Word("quota") >
    Name<x3::unused_type>("cores, memory, accelerators, slots or connections", +resource) >
    -borrowing > x3::eps[([&](auto&) { command.mBody = SetTeam{ quota }; })];
  const auto value =
    kQuoted | kIdentifier | Name<std::string>("a value", x3::lexeme[+x3::char_("a-zA-Z0-9_.%-")]);
  const auto setting = kIdentifier[Set(aDraft.mSetting.mName)] > '=' >
                       Name<std::string>("a value", value)[Set(aDraft.mSetting.mValue)] >
                       Finish(command, aDraft.mSetting);
  const auto worker = Word("worker") > kQuoted[Set(aDraft.mDrain.mWorker)];
  return (Word("set") > (team | setting)) |
         (Word("drain") > worker > Finish(command, aDraft.mDrain)) |
         (Word("undrain") > worker > x3::eps[SetTo(aDraft.mDrain.mDrained, false)] >
          Finish(command, aDraft.mDrain));
}

SyntaxError MakeError(std::string_view aText, std::size_t aAt, std::string aExpected)
{
  while (aAt < aText.size() && std::isspace(static_cast<unsigned char>(aText[aAt])))
    ++aAt;
  const std::size_t end = std::min(aText.find_first_of(" \t\r\n", aAt), aText.size());
  return { static_cast<std::uint32_t>(aAt + 1),
           std::move(aExpected),
           std::string(aText.substr(aAt, end - aAt)) };
}

}  // namespace

std::variant<Command, SyntaxError> ParseCommandOrError(std::string_view aText)
{
  Draft draft;
  const auto revision = [&](auto& aContext) { draft.mCommand.mIfRevision = x3::_attr(aContext); };
  const auto body = MakeJobCommands(draft) | MakeShow(draft) | MakeCellCommands(draft);
  const auto grammar = body >> -(Word("if") > Word("revision") > kWhole[revision]);
  auto at = aText.begin();
  try {
    const bool matched = x3::phrase_parse(at, aText.end(), grammar, x3::space);
    const auto offset = static_cast<std::size_t>(at - aText.begin());
    if (!matched)
      return MakeError(aText,
                       0,
                       "create, change, cancel, declare, withdraw, explain, show, set, drain or "
                       "undrain");
    if (at != aText.end())
      return MakeError(aText, offset, "a further clause, `if revision N` or the end");
  } catch (const x3::expectation_failure<std::string_view::iterator>& failure) {
    return MakeError(
      aText, static_cast<std::size_t>(failure.where() - aText.begin()), failure.which());
  }
  return std::move(draft.mCommand);
}

Result<Command> ParseCommand(std::string_view aText)
{
  auto parsed = ParseCommandOrError(aText);
  if (auto* command = std::get_if<Command>(&parsed))
    return std::move(*command);
  const SyntaxError& error = std::get<SyntaxError>(parsed);
  return MakeFailure(FailureKind::BadInput,
                     "column " + std::to_string(error.mColumn) + ": expected " + error.mExpected +
                       ", found " + (error.mFound.empty() ? "the end" : "`" + error.mFound + "`"));
}

}  // namespace monsoon
