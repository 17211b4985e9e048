<#macro page hasError=false>
<!DOCTYPE html>
<html lang="en">
<head>
  <meta charset="utf-8">
  <meta name="viewport" content="width=device-width, initial-scale=1">
  <title><#if hasError>Error: </#if>${title} - hornbeamscale</title>
  <link rel="stylesheet" href="/console/style.css">
</head>
<body>
  <a class="skip" href="#main">Skip to the content</a>
  <header>
    <span class="brand">hornbeamscale</span>
    <#if operator?has_content>
    <nav aria-label="Sections">
      <ul>
        <li><a href="/console/"<#if title == "Overview"> aria-current="page"</#if>>Overview</a></li>
        <#list sections as item>
        <li><a href="/console/${item.key}"<#if title == item.title> aria-current="page"</#if>>${item.title}</a></li>
        </#list>
        <li><a href="/console/history"<#if title == "History"> aria-current="page"</#if>>History</a></li>
        <li><a href="/console/audit"<#if title == "Audit events"> aria-current="page"</#if>>Audit events</a></li>
      </ul>
    </nav>
    <form method="post" action="/console/logout" class="logout">
      <@token/>
      <span>${operator}</span>
      <button class="quiet">Sign out</button>
    </form>
    </#if>
  </header>
  <main id="main" tabindex="-1">
    <h1>${title}</h1>
    <#nested>
  </main>
</body>
</html>
</#macro>

<#macro token><input type="hidden" name="csrf" value="${csrf}"></#macro>

<#macro hidden fields>
  <#list fields as name, values><#if name != "csrf"><#list values as value>
  <input type="hidden" name="${name}" value="${value}">
  </#list></#if></#list>
</#macro>

<#macro changes lines empty="No differences.">
  <#if lines?has_content>
  <ul class="changes">
    <#list lines as line>
    <li class="${line?starts_with("+")?then("added", line?starts_with("-")?then("removed", "changed"))}"><code>${line}</code></li>
    </#list>
  </ul>
  <#else>
  <p>${empty}</p>
  </#if>
</#macro>

<#macro reason why problem isAccepted hasWarnings>
  <div class="field<#if problem == "why"> wrong</#if>">
    <label for="why">Reason, for the audit trail</label>
    <#if problem == "why"><p class="error" id="why-error">Say why. The audit trail keeps the reason.</p></#if>
    <input id="why" name="why" type="text" maxlength="1000" required value="${why}"<#if problem == "why"> aria-invalid="true" aria-describedby="why-error"</#if>>
  </div>
  <#if hasWarnings>
  <div class="field<#if problem == "accept"> wrong</#if>">
    <#if problem == "accept"><p class="error" id="accept-error">Accept the warnings to publish.</p></#if>
    <label class="flag"><input id="accept" type="checkbox" name="accept" value="yes"<#if isAccepted> checked</#if><#if problem == "accept"> aria-invalid="true" aria-describedby="accept-error"</#if>> I accept the warnings above</label>
  </div>
  </#if>
</#macro>

<#macro warnings lines>
  <#if lines?has_content>
  <section class="warning" aria-labelledby="warnings">
    <h2 id="warnings">Warnings</h2>
    <p>This change would affect running work or callers:</p>
    <ul><#list lines as line><li>${line}</li></#list></ul>
  </section>
  </#if>
</#macro>
