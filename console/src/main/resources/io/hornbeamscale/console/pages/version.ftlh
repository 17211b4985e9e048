<#import "layout.ftlh" as l>
<@l.page hasError=(problem?has_content)>
  <#if problem?has_content>
  <div class="summary" role="alert" tabindex="-1"><h2>Not rolled back</h2><p>${problem}</p></div>
  </#if>
  <#if record??>
  <p>Published <time datetime="${time}">${time}</time> by ${record.operator} from ${record.origin}: ${record.action}. ${record.why}</p>
  <h2>Changes in this version</h2>
  <@l.changes lines=lines/>
  </#if>
  <#if version == expect>
  <p>This version is in force.</p>
  <#else>
  <h2>Roll back to this version</h2>
  <p>The content of version ${version} would be published as version ${expect + 1}, with these changes to version ${expect}:</p>
  <@l.changes lines=back empty="Version ${expect} has the same content."/>
  <@l.warnings lines=warnings/>
  <#if back?has_content>
  <form method="post" action="/console/history/${version}" novalidate>
    <@l.token/>
    <input type="hidden" name="expect" value="${expect}">
    <input type="hidden" name="rollback" value="yes">
    <@l.reason why=why problem="" isAccepted=isAccepted hasWarnings=(warnings?has_content)/>
    <div class="buttons"><button>Roll back to version ${version}</button> <a href="/console/history">Cancel</a></div>
  </form>
  </#if>
  </#if>
</@l.page>
