//! Parses classes, tenants and pools.

use tansyhall_core::Role;

use super::cursor::Cursor;
use super::{MAX_BLOCKS, MAX_CLASSES, MAX_ENTRIES};
use crate::ast::{
    ClassAst, ClassPriority, ClassSetting, EngineSelectorAst, FallbackAst, Name, PolicyAst,
    PoolAst, PoolSetting, ShareAst, TenantAst, TenantLimit,
};
use crate::diagnostic::Diagnostic;
use crate::lexer::Token;

#[derive(Clone, Copy)]
enum Block {
    Class,
    Tenant,
    Pool,
}

#[derive(Clone, Copy)]
enum ClassKeyword {
    Deadline,
    Priority,
    NotRepeatable,
    Prefer,
    Fallback,
    Versions,
    Adapters,
}

const CLASS_KEYWORDS: [(&str, ClassKeyword); 7] = [
    ("deadline", ClassKeyword::Deadline),
    ("priority", ClassKeyword::Priority),
    ("not-repeatable", ClassKeyword::NotRepeatable),
    ("prefer", ClassKeyword::Prefer),
    ("fallback", ClassKeyword::Fallback),
    ("versions", ClassKeyword::Versions),
    ("adapters", ClassKeyword::Adapters),
];

#[derive(Clone, Copy)]
enum PoolKeyword {
    Least,
    Most,
    Changes,
    ChangeWorth,
}

const POOL_KEYWORDS: [(&str, PoolKeyword); 4] = [
    ("least", PoolKeyword::Least),
    ("most", PoolKeyword::Most),
    ("changes", PoolKeyword::Changes),
    ("change-worth", PoolKeyword::ChangeWorth),
];

impl Cursor {
    /// Parses a complete program.
    pub(super) fn policy(mut self) -> Result<PolicyAst, Diagnostic> {
        const BLOCKS: [(&str, Block); 3] = [
            ("class", Block::Class),
            ("tenant", Block::Tenant),
            ("pool", Block::Pool),
        ];
        let mut policy = PolicyAst::default();
        while self.peek().is_some() {
            match self.expect_one_of(&BLOCKS)? {
                Block::Class => {
                    self.check_count(policy.classes.len(), MAX_CLASSES, "classes")?;
                    policy.classes.push(self.class()?);
                }
                Block::Tenant => {
                    self.check_count(policy.tenants.len(), MAX_BLOCKS, "tenants")?;
                    policy.tenants.push(self.tenant()?);
                }
                Block::Pool => {
                    self.check_count(policy.pools.len(), MAX_BLOCKS, "pools")?;
                    policy.pools.push(self.pool()?);
                }
            }
        }
        Ok(policy)
    }

    fn block<T>(
        &mut self,
        entry: fn(&mut Self) -> Result<T, Diagnostic>,
    ) -> Result<Vec<T>, Diagnostic> {
        self.expect(&Token::OpenBrace, "'{'")?;
        let mut entries = Vec::new();
        while !self.consume(&Token::CloseBrace) {
            self.check_count(entries.len(), MAX_ENTRIES, "settings")?;
            entries.push(entry(self)?);
            self.expect(&Token::Semicolon, "';'")?;
        }
        Ok(entries)
    }

    fn list<T>(
        &mut self,
        entry: fn(&mut Self) -> Result<T, Diagnostic>,
    ) -> Result<Vec<T>, Diagnostic> {
        let mut entries = vec![entry(self)?];
        while self.consume(&Token::Comma) {
            self.check_count(entries.len(), MAX_ENTRIES, "names")?;
            entries.push(entry(self)?);
        }
        Ok(entries)
    }

    fn class(&mut self) -> Result<ClassAst, Diagnostic> {
        let name = self.name("a class name")?;
        let condition = match self.consume_word("when") {
            true => Some(self.condition()?),
            false => None,
        };
        let settings = self.block(Self::class_setting)?;
        Ok(ClassAst {
            name,
            condition,
            settings,
        })
    }

    fn class_setting(&mut self) -> Result<ClassSetting, Diagnostic> {
        Ok(match self.expect_one_of(&CLASS_KEYWORDS)? {
            ClassKeyword::Deadline => ClassSetting::Deadline(self.duration()?),
            ClassKeyword::Priority => {
                ClassSetting::Priority(self.expect_one_of(&ClassPriority::NAMES)?)
            }
            ClassKeyword::NotRepeatable => ClassSetting::NotRepeatable,
            ClassKeyword::Prefer => {
                self.expect_word("zone")?;
                ClassSetting::Prefer(self.list(Self::zone)?)
            }
            ClassKeyword::Fallback => ClassSetting::Fallback(self.fallback()?),
            ClassKeyword::Versions => ClassSetting::Versions(self.list(Self::share)?),
            ClassKeyword::Adapters => ClassSetting::Adapters(self.list(Self::share)?),
        })
    }

    fn zone(&mut self) -> Result<Name, Diagnostic> {
        self.name("a zone's name")
    }

    fn share(&mut self) -> Result<ShareAst, Diagnostic> {
        let name = self.name("the name of a version or adapter")?;
        let percent = self.percent()?;
        Ok(ShareAst { name, percent })
    }

    fn fallback(&mut self) -> Result<FallbackAst, Diagnostic> {
        const KINDS: [(&str, FallbackAst); 3] = [
            ("zone", FallbackAst::Zones(Vec::new())),
            ("any", FallbackAst::Any),
            ("none", FallbackAst::None),
        ];
        match self.expect_one_of(&KINDS)? {
            FallbackAst::Zones(_) => self.list(Self::zone).map(FallbackAst::Zones),
            other => Ok(other),
        }
    }

    fn tenant(&mut self) -> Result<TenantAst, Diagnostic> {
        let name = self.name("a tenant's name")?;
        let limits = self.block(Self::tenant_limit)?;
        Ok(TenantAst { name, limits })
    }

    fn tenant_limit(&mut self) -> Result<TenantLimit, Diagnostic> {
        type LimitConstructor = fn(u64) -> TenantLimit;
        const UNITS: [(&str, (LimitConstructor, bool)); 3] = [
            ("requests", (TenantLimit::RequestsPerSecond, true)),
            ("tokens", (TenantLimit::TokensPerSecond, true)),
            ("concurrent", (TenantLimit::Concurrent, false)),
        ];
        self.expect_word("limit")?;
        let number = self.number()?;
        let (limit, is_rate) = self.expect_one_of(&UNITS)?;
        if is_rate {
            self.expect_word("per")?;
            self.expect_word("s")?;
        }
        Ok(limit(number))
    }

    fn pool(&mut self) -> Result<PoolAst, Diagnostic> {
        let name = self.name("a pool's name")?;
        let settings = self.block(Self::pool_setting)?;
        Ok(PoolAst { name, settings })
    }

    fn pool_setting(&mut self) -> Result<PoolSetting, Diagnostic> {
        Ok(match self.expect_one_of(&POOL_KEYWORDS)? {
            PoolKeyword::Least => PoolSetting::Least(self.engine_selector()?, self.number()?),
            PoolKeyword::Most => PoolSetting::Most(self.engine_selector()?, self.number()?),
            PoolKeyword::Changes => {
                let count = self.number()?;
                self.expect_word("per")?;
                PoolSetting::Changes(count, self.duration()?)
            }
            PoolKeyword::ChangeWorth => PoolSetting::ChangeWorth(self.percent()?),
        })
    }

    fn engine_selector(&mut self) -> Result<EngineSelectorAst, Diagnostic> {
        const SUBJECTS: [(&str, Option<Role>); 4] = [
            ("prefill", Some(Role::Prefill)),
            ("decode", Some(Role::Decode)),
            ("mixed", Some(Role::Mixed)),
            ("model", None),
        ];
        match self.expect_one_of(&SUBJECTS)? {
            Some(role) => Ok(EngineSelectorAst::Role(role)),
            None => self.name("a model's name").map(EngineSelectorAst::Model),
        }
    }
}
